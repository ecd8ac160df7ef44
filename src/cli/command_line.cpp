#include "cli/command_line.h"

#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "daemon/daemon.h"

namespace aldersill {
namespace {

int Complain(const std::exception& e) {
  std::fprintf(stderr, "aldersill: %s\n", e.what());
  return kFailed;
}

int Serve() {
  signal(SIGPIPE, SIG_IGN);  // a peer that went is told by the write's error
  // Told to read its configuration anew while it first does so: that waits until somebody listens.
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, nullptr);
  try {
    Daemon daemon(ReadConfig());
    sigprocmask(SIG_UNBLOCK, &reload, nullptr);
    daemon.Run();
    return kDone;
  } catch (const std::exception& e) {
    return Complain(e);
  }
}

// The platform's file is one JSON object with "settings"; anything else is taken for the operator's own.
bool LooksLikePlatformFile(const std::string& path) {
  std::ifstream file(path);
  const nlohmann::json json = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
  return json.is_object() && (json.contains("settings") || json.contains("discovery"));
}

int CheckConfig(const std::vector<std::string>& files) {
  int status = kDone;
  for (const std::string& path : files) {
    try {
      const bool platform = LooksLikePlatformFile(path);
      platform ? static_cast<void>(ReadPlatformFile(path)) : static_cast<void>(ReadOperatorFile(path));
      std::printf("%s: good, as %s\n", path.c_str(),
                  platform ? "the platform's configuration" : "the operator's settings");
    } catch (const std::exception& e) {
      status = Complain(e);
    }
  }
  return status;
}

int PrintConfig() {
  try {
    const std::string path = OperatorFilePath();
    const OperatorSettings settings = path.empty() ? OperatorSettings{} : ReadOperatorFile(path);
    std::printf("# %s; what it leaves out stands with its default\n%s",
                path.empty() ? "no file" : path.c_str(), PrintOperatorSettings(settings).c_str());
    return kDone;
  } catch (const std::exception& e) {
    return Complain(e);
  }
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  CLI::App app("aldersill, a dispatcher: takes jobs, decides where each runs, answers each once.");
  app.set_version_flag("--version", std::string("aldersill ") + ALDERSILL_VERSION);
  app.footer(
      "Exit status: 0 done; 1 it could not be done, with one line that says why; 2 a command line that "
      "makes\n"
      "no sense; 3 no running instance answers at the control socket. docs/cli.md tells more.");
  app.require_subcommand(0, 1);
  CLI::App* serve = app.add_subcommand("serve", "Serves until SIGTERM (the default)");
  serve->footer("GW_CONFIG names the platform's configuration, ALDERSILL_SETTINGS the operator's file.");
  std::vector<std::string> files;
  CLI::App* check = app.add_subcommand("check-config", "Reads files as the daemon would, and starts nothing");
  check->add_option("FILE", files, "The platform's JSON or the operator's YAML, told apart by what they hold")
      ->required();
  CLI::App* print =
      app.add_subcommand("print-config", "Prints the operator's settings in force, defaults included");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int status = app.exit(e);
    return status == 0 ? kDone : kUsage;
  }
  if (check->parsed()) return CheckConfig(files);
  if (print->parsed()) return PrintConfig();
  return Serve();
}

}  // namespace aldersill
