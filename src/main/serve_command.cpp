#include "main/serve_command.h"

#include <cstdio>
#include <memory>

#include "codec/settings_yaml.h"
#include "codec/yaml_node.h"
#include "main/exit_code.h"
#include "services/serve_vm.h"

namespace plantainlatch {

namespace {

    int fail(const absl::Status& status)
    {
        std::fprintf(stderr, "plantainlatch serve: %s\n", std::string(status.message()).c_str());
        return exit_code::failed;
    }

    int run(const command_line& line)
    {
        const std::string path = line.text("settings");
        const absl::StatusOr<std::string> text = readFile(path, largestYamlText);
        if (!text.ok()) {
            std::fprintf(stderr, "plantainlatch serve: %s\n", std::string(text.status().message()).c_str());
            return exit_code::badInput;
        }
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
    const absl::StatusOr<std::unique_ptr<event_loop>> loop = event_loop::create(0);
    if (!loop.ok())
        return fail(loop.status());
    const absl::StatusOr<std::unique_ptr<serve_vm>> vm = serve_vm::create(**loop, settings);
    if (!vm.ok())
        return fail(vm.status());
    const absl::Status started = (*vm)->start();
    if (!started.ok())
        return fail(started);
    (*loop)->run();
    (*vm)->checkIdle();
    return exit_code::ok;
}

} // namespace plantainlatch
