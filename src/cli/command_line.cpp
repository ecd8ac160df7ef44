#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <string>
#include <vector>

#include "cli/config_commands.h"
#include "cli/exit_status.h"
#include "cli/query_commands.h"
#include "config/config.h"
#include "daemon/daemon.h"

namespace aldersill {
namespace {

// Blocks or unblocks one signal. `how` is SIG_BLOCK or SIG_UNBLOCK.
void ChangeSignalMask(int how, int number) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, number);
  sigprocmask(how, &signals, nullptr);
}

// Runs the daemon until it ends. Prints the error if it fails.
ExitStatus Serve() {
  // A write to a closed connection then fails with an error instead of a signal.
  signal(SIGPIPE, SIG_IGN);
  // SIGHUP is blocked until the daemon handles it, so that a reload requested during the start is not lost.
  // If the start fails, it stays blocked, so that it cannot end the program before the error is printed.
  ChangeSignalMask(SIG_BLOCK, SIGHUP);
  try {
    Daemon daemon(ReadConfig());
    ChangeSignalMask(SIG_UNBLOCK, SIGHUP);
    daemon.Run();
    return kDone;
  } catch (const std::exception& error) {
    PrintError(error);
    return kFailed;
  }
}

// The sub-commands and their options. Owns the variables into which the parser writes.
class CommandLine {
 public:
  CommandLine() {
    app_.set_version_flag("--version", std::string("aldersill ") + ALDERSILL_VERSION);
    app_.footer(
        "Exit status: 0 done; 1 it could not be done, with one line that says why; 2 a command line that "
        "makes\n"
        "no sense; 3 no running instance answers at the control socket. docs/cli.md tells more.");
    app_.require_subcommand(0, 1);
    AddServe();
    AddConfigCommands();
    AddQueryCommands();
  }

  // Throws CLI::ParseError for an invalid command line, and for --help and --version.
  void Parse(int argc, char** argv) { app_.parse(argc, argv); }
  // Prints the help, the version or the error message that `error` stands for.
  ExitStatus Report(const CLI::ParseError& error) const { return app_.exit(error) == 0 ? kDone : kUsage; }

  ExitStatus Run() const {
    if (check_config_->parsed())
      return CheckConfig(files_);
    if (print_config_->parsed())
      return PrintConfig();
    if (members_->parsed())
      return PrintMembers(query_options_);
    if (duties_->parsed())
      return PrintDuties(query_options_);
    return Serve();
  }

 private:
  void AddServe() {
    CLI::App* serve = app_.add_subcommand("serve", "Serves until SIGTERM (the default)");
    serve->footer("GW_CONFIG names the platform's configuration, ALDERSILL_SETTINGS the operator's file.");
  }
  void AddConfigCommands() {
    check_config_ =
        app_.add_subcommand("check-config", "Reads files as the daemon would, and starts nothing");
    check_config_
        ->add_option("FILE", files_,
                     "The platform's JSON or the operator's YAML, told apart by what they hold")
        ->required();
    print_config_ =
        app_.add_subcommand("print-config", "Prints the operator's settings in force, defaults included");
  }
  void AddQueryCommands() {
    members_ = app_.add_subcommand("members", "Asks a running instance whom it knows");
    duties_ = app_.add_subcommand("duties", "Asks a running instance which duties it has");
    for (CLI::App* command : {members_, duties_}) {
      command->add_option("--socket", query_options_.socket,
                          "The control socket, in place of the settings' control.socket");
      command->add_flag("--json", query_options_.json, "Prints the answer as it came");
    }
  }

  CLI::App app_{"aldersill, a dispatcher: takes jobs, decides where each runs, answers each once."};
  CLI::App* check_config_ = nullptr;
  CLI::App* print_config_ = nullptr;
  CLI::App* members_ = nullptr;
  CLI::App* duties_ = nullptr;
  std::vector<std::string> files_;
  QueryOptions query_options_;
};

}  // namespace

int RunCommandLine(int argc, char** argv) {
  CommandLine command_line;
  try {
    command_line.Parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return command_line.Report(error);
  }
  return command_line.Run();
}

}  // namespace aldersill
