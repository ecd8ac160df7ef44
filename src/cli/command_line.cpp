#include "cli/command_line.h"

#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "control/control.h"
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
      std::vector<std::string> unknown;
      platform ? static_cast<void>(unknown = ReadPlatformFile(path).unknown)
               : static_cast<void>(ReadOperatorFile(path));
      std::printf("%s: good, as %s\n", path.c_str(),
                  platform ? "the platform's configuration" : "the operator's settings");
      for (const std::string& field : unknown)
        std::printf("%s: not read: %s\n", path.c_str(), field.c_str());
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

struct Question {
  std::string socket;  // empty: the operator's file says
  bool json = false;
};

// What a running instance answers; nothing, with the complaint made, where none does.
std::optional<nlohmann::json> AskRunning(const Question& question, const char* what, int* status) {
  try {
    std::string path = question.socket;
    if (path.empty()) {
      const std::string file = OperatorFilePath();
      if (!file.empty())
        path = ReadOperatorFile(file).control.socket;
    }
    if (path.empty())
      throw ConfigError("control.socket is not set: give --socket PATH");
    *status = kUnreachable;
    const std::optional<std::string> answer = control::Ask(path, what);
    if (!answer)
      throw std::runtime_error("no running instance answers at " + path);
    return nlohmann::json::parse(*answer);
  } catch (const ConfigError& e) {
    *status = Complain(e);
  } catch (const std::exception& e) {
    Complain(e);
  }
  return std::nullopt;
}

int Members(const Question& question) {
  int status = kDone;
  const auto json = AskRunning(question, "members", &status);
  if (!json)
    return status;
  if (question.json) {
    std::printf("%s\n", json->dump().c_str());
    return kDone;
  }
  if (!json->at("enabled").get<bool>()) {
    std::printf("membership is off\n");
    return kDone;
  }
  std::printf("%-24s %-8s %-22s %7s  %s\n", "NAME", "STATE", "ADDRESS", "WEIGHT", "SINCE (UNIX MS)");
  for (const nlohmann::json& m : json->at("members")) {
    std::printf("%-24s %-8s %-22s %7llu  %llu%s\n", m.at("name").get<std::string>().c_str(),
                m.at("state").get<std::string>().c_str(), m.at("address").get<std::string>().c_str(),
                m.at("weight").get<unsigned long long>(), m.at("epoch").get<unsigned long long>(),
                m.at("self").get<bool>() ? "  (this one)" : "");
  }
  return kDone;
}

int Duties(const Question& question) {
  int status = kDone;
  const auto json = AskRunning(question, "duties", &status);
  if (!json)
    return status;
  if (question.json) {
    std::printf("%s\n", json->dump().c_str());
    return kDone;
  }
  if (!json->at("enabled").get<bool>()) {
    std::printf("membership is off, and with it all shared duties\n");
    return kDone;
  }
  if (const nlohmann::json& p = json->at("probing"); p.is_null()) {
    std::printf("probing: not shared\n");
  } else {
    std::printf("probing: owns %llu of %llu workers; %llu probes, %llu takeovers, %llu results heard\n",
                p.at("owned").get<unsigned long long>(), p.at("workers").get<unsigned long long>(),
                p.at("started").get<unsigned long long>(), p.at("takeovers").get<unsigned long long>(),
                p.at("heard").get<unsigned long long>());
  }
  for (const nlohmann::json& d : json->at("exclusive")) {
    const auto holder = d.at("holder").get<std::string>();
    std::printf("%s: %s%s\n", d.at("duty").get<std::string>().c_str(),
                d.at("held").get<bool>()
                    ? ("held here, term " + std::to_string(d.at("term").get<unsigned long long>())).c_str()
                    : "not held here",
                holder.empty() ? "" : (", holder as told: " + holder).c_str());
  }
  return kDone;
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
  Question question;
  CLI::App* members = app.add_subcommand("members", "Asks a running instance whom it knows");
  CLI::App* duties = app.add_subcommand("duties", "Asks a running instance which duties it has");
  for (CLI::App* asks : {members, duties}) {
    asks->add_option("--socket", question.socket,
                     "The control socket, in place of the settings' control.socket");
    asks->add_flag("--json", question.json, "Prints the answer as it came");
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int status = app.exit(e);
    return status == 0 ? kDone : kUsage;
  }
  if (check->parsed())
    return CheckConfig(files);
  if (print->parsed())
    return PrintConfig();
  if (members->parsed())
    return Members(question);
  if (duties->parsed())
    return Duties(question);
  return Serve();
}

}  // namespace aldersill
