#include "cli/query_commands.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "config/config.h"
#include "config/operator_file.h"
#include "control/control.h"

namespace aldersill {
namespace {

using Json = nlohmann::json;

// No running process answers at the control socket.
class Unreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the path of the control socket, from the options or the operator's file. Throws ConfigError if
// neither gives one.
std::string SocketPath(const QueryOptions& options) {
  std::string path = options.socket;
  if (path.empty()) {
    const std::string file = OperatorFilePath();
    if (!file.empty())
      path = ReadOperatorFile(file).control.socket;
  }
  if (path.empty())
    throw ConfigError("control.socket is not set: give --socket PATH");
  return path;
}

// Returns the dispatcher's answer. Throws ConfigError if no socket is set, and Unreachable if the dispatcher
// does not answer or its answer is not JSON.
Json QueryDispatcher(const QueryOptions& options, const std::string& query) {
  const std::string path = SocketPath(options);
  try {
    const std::optional<std::string> answer = control::Query(path, query);
    if (!answer)
      throw Unreachable("no running instance answers at " + path);
    return Json::parse(*answer);
  } catch (const std::exception& error) {
    throw Unreachable(error.what());
  }
}

unsigned long long CountField(const Json& object, const char* key) {
  return object.at(key).get<unsigned long long>();
}

std::string TextField(const Json& object, const char* key) { return object.at(key).get<std::string>(); }

void PrintMembersTable(const Json& answer) {
  if (!answer.at("enabled").get<bool>()) {
    std::printf("membership is off\n");
    return;
  }
  std::printf("%-24s %-8s %-22s %7s  %s\n", "NAME", "STATE", "ADDRESS", "WEIGHT", "SINCE (UNIX MS)");
  for (const Json& member : answer.at("members")) {
    std::printf("%-24s %-8s %-22s %7llu  %llu%s\n", TextField(member, "name").c_str(),
                TextField(member, "state").c_str(), TextField(member, "address").c_str(),
                CountField(member, "weight"), CountField(member, "epoch"),
                member.at("self").get<bool>() ? "  (this one)" : "");
  }
}

void PrintProbing(const Json& probing) {
  if (probing.is_null()) {
    std::printf("probing: not shared\n");
    return;
  }
  std::printf("probing: owns %llu of %llu workers; %llu probes, %llu takeovers, %llu results heard\n",
              CountField(probing, "owned"), CountField(probing, "workers"), CountField(probing, "started"),
              CountField(probing, "takeovers"), CountField(probing, "heard"));
}

void PrintExclusiveDuty(const Json& duty) {
  std::string state = "not held here";
  if (duty.at("held").get<bool>())
    state = "held here, term " + std::to_string(CountField(duty, "term"));
  const std::string holder = TextField(duty, "holder");
  if (!holder.empty())
    state += ", holder as told: " + holder;
  std::printf("%s: %s\n", TextField(duty, "duty").c_str(), state.c_str());
}

void PrintDutiesList(const Json& answer) {
  if (!answer.at("enabled").get<bool>()) {
    std::printf("membership is off, and with it all shared duties\n");
    return;
  }
  PrintProbing(answer.at("probing"));
  for (const Json& duty : answer.at("exclusive"))
    PrintExclusiveDuty(duty);
}

// Queries the dispatcher and prints the answer with `print`, or as JSON if the options ask for it.
ExitStatus Run(const QueryOptions& options, const char* query, void (*print)(const Json& answer)) {
  Json answer;
  try {
    answer = QueryDispatcher(options, query);
  } catch (const Unreachable& error) {
    PrintError(error);
    return kUnreachable;
  } catch (const std::exception& error) {
    PrintError(error);
    return kFailed;
  }
  if (options.json)
    std::printf("%s\n", answer.dump().c_str());
  else
    print(answer);
  return kDone;
}

}  // namespace

ExitStatus PrintMembers(const QueryOptions& options) { return Run(options, "members", &PrintMembersTable); }

ExitStatus PrintDuties(const QueryOptions& options) { return Run(options, "duties", &PrintDutiesList); }

}  // namespace aldersill
