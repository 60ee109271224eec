#include "main/serve_command.h"

#include <cstdio>
#include <memory>

#include "codec/settings_yaml.h"
#include "codec/yaml_node.h"
#include "main/exit_code.h"
#include "main/run_vm.h"
#include "services/serve_vm.h"

namespace plantainlatch {

namespace {

    int run(const command_line& line)
    {
        const std::string path = line.text("settings");
        const absl::StatusOr<std::string> text = readFile(path, maximumYamlBytes);
        if (!text.ok())
            return failCommand("serve", text.status(), exit_code::badInput);
        finding_list findings;
        const absl::StatusOr<vm_settings> settings = parseSettings(*text, path, findings);
        if (!settings.ok()) {
            std::fprintf(stderr, "%s\n", findings.format().c_str());
            return exit_code::badInput;
        }
        return runServe(*settings);
    }

} // namespace

subcommand serveCommand()
{
    option_spec settings;
    settings.name = "settings";
    settings.valueName = "FILE";
    settings.help = "the settings of this VM";
    settings.required = true;
    command_spec spec;
    spec.name = "plantainlatch serve";
    spec.summary = "Runs one VM of the system until SIGTERM.";
    spec.options = { settings };
    spec.footer = exitCodeHelp();
    return { spec, run };
}

int runServe(const vm_settings& settings)
{
    return runVm<serve_vm>(
        "serve", [&settings](event_loop& loop) { return serve_vm::create(loop, settings); },
        [](const serve_vm& vm) { vm.checkIdle(); });
}

} // namespace plantainlatch
