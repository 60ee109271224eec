#include "main/check_command.h"

#include <cstdio>

#include "codec/declaration_yaml.h"
#include "codec/settings_yaml.h"
#include "codec/yaml_node.h"
#include "main/exit_code.h"

namespace plantainlatch {

namespace {

    /** Settings have the key `vms` or `vm`; any other file is checked as a declaration. */
    bool looksLikeSettings(const yaml_node& root)
    {
        for (const yaml_field& field : root.fields) {
            if (field.key == "vms" || field.key == "vm")
                return true;
        }
        return false;
    }

    void checkFile(const std::string& path, finding_list& findings)
    {
        const absl::StatusOr<std::string> text = readFile(path, maximumYamlBytes);
        if (!text.ok()) {
            findings.add({ path, 0, 0 }, std::string(text.status().message()), "");
            return;
        }
        finding_list syntax;
        const absl::StatusOr<yaml_node> root = parseYaml(*text, path, syntax);
        if (root.ok() && looksLikeSettings(*root))
            parseSettings(*text, path, findings).IgnoreError();
        else
            parseDeclaration(*text, path, findings).IgnoreError();
    }

    int run(const command_line& line)
    {
        if (line.arguments().empty()) {
            std::fputs("check: at least one FILE is expected (see --help)\n", stderr);
            return exit_code::badInput;
        }
        finding_list findings;
        for (const std::string& path : line.arguments())
            checkFile(path, findings);
        if (findings.empty()) {
            std::printf("%zu files are valid\n", line.arguments().size());
            return exit_code::ok;
        }
        std::fprintf(stderr, "%s\n", findings.format().c_str());
        return exit_code::badInput;
    }

} // namespace

subcommand checkCommand()
{
    return { { "plantainlatch check", "Checks settings and declarations without a running system.", {}, "FILE...",
                 exitCodeHelp() },
        run };
}

} // namespace plantainlatch
