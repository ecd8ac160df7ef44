// Tests of the management address: the parsing of commands, the metrics, bans in the core, and the management
// address of a running daemon.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <sstream>
#include <vector>

#include "admin/command.h"
#include "admin/figures.h"
#include "core/reducer.h"
#include "daemon_under_test.h"
#include "platform_config.h"
#include "player.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using admin::ParseCommand;
using tools::Socket;

// ---- Commands and metrics ----

TEST_CASE("a line is parsed as a command or rejected with a reason") {
  CHECK(std::holds_alternative<admin::Health>(ParseCommand("HEALTH")));
  CHECK(std::holds_alternative<admin::Dump>(ParseCommand(" DUMP ")));
  CHECK(std::get<admin::Offline>(ParseCommand("OFFLINE s-1")).worker == "s-1");
  CHECK(std::get<admin::Online>(ParseCommand("ONLINE  s-1")).worker == "s-1");
  for (const char* bad :
       {"", "   ", "health", "HEALTH s-1", "OFFLINE", "ONLINE a b", "OFFLINE s\x01", "STOP"}) {
    CAPTURE(bad);
    CHECK(std::holds_alternative<admin::BadCommand>(ParseCommand(bad)));
  }
}

TEST_CASE("metrics are statsd lines with the classes in their order") {
  Counters counters;
  counters.classes = {{.name = "b", .served = 812, .rejected = 3, .failed = 1}, {.name = "a"}};
  counters.attempts_sent = 900;
  counters.waiting_clients = 14;
  counters.ready_workers = 5;
  counters.draining_workers = 2;
  counters.reconfigurations = 4;
  counters.reconfigurations_refused = 1;
  CHECK(admin::EncodeMetrics(counters, 3) ==
        "app.success.b:812|c\napp.busy.b:3|c\napp.failure.b:1|c\n"
        "app.success.a:0|c\napp.busy.a:0|c\napp.failure.a:0|c\n"
        "app.backend_calls:900|c\napp.inflight:14|g\napp.hosts_listed:7|g\napp.hosts_down:3|g\n"
        "app.reconfig_ok:4|c\napp.reconfig_failed:1|c\n");
}

// ---- Bans in the core ----

WorkerEndpoint Worker(const std::string& name, Micros started = 0) {
  WorkerEndpoint worker;
  worker.name = name;
  worker.address = "127.0.0.1:9";
  worker.started = started;
  return worker;
}

// A reducer with one class, whose jobs are repeatable, and one worker, s-1.
class CoreUnderTest {
 public:
  CoreUnderTest() : reducer_(Settings()) { PostEndpointList({Worker("s-1")}); }

  std::vector<Effect> Post(Event event) {
    std::vector<Effect> effects;
    reducer_.Reduce(now_ += kMillisecond, std::move(event), &effects);
    return effects;
  }
  void PostEndpointList(std::vector<WorkerEndpoint> workers) {
    Post(EndpointListUpdate{
        .form = EndpointListUpdate::Form::kSnapshot, .source = {}, .workers = std::move(workers)});
  }
  // Posts a request and returns the number of attempts that the reducer starts.
  int AttemptsStartedForRequest() {
    Job job;
    job.job_class = "fast";
    job.time_left = kSecond;
    int started = 0;
    for (const Effect& effect : Post(RequestReceived{{ClientRef::Frontend::kHttp, ++clients_}, job}))
      started += std::holds_alternative<StartAttempt>(effect) ? 1 : 0;
    return started;
  }
  const Reducer& reducer() const { return reducer_; }

 private:
  static CoreSettings Settings() {
    CoreSettings settings;
    settings.dispatcher.classes = {
        {.name = "fast", .deadline = 10 * kSecond, .repeat = dispatch::Repeat::kRepeatable}};
    return settings;
  }
  Micros now_ = kSecond;
  std::uint64_t clients_ = 0;
  Reducer reducer_;
};

TEST_CASE("a banned worker gets no attempts, whatever its endpoint list says, until the ban is lifted") {
  CoreUnderTest core;
  REQUIRE(core.AttemptsStartedForRequest() == 1);
  core.Post(WorkerBanned{"s-1", true});
  CHECK(core.AttemptsStartedForRequest() == 0);
  CHECK(core.reducer().AvoidedWorkers() == 1);
  core.PostEndpointList({Worker("s-1", 500 * kMillisecond)});  // restarted
  CHECK(core.AttemptsStartedForRequest() == 0);
  core.PostEndpointList({});  // removed
  CHECK(core.reducer().IsKnownWorker("s-1"));
  core.PostEndpointList({Worker("s-1")});  // listed again
  core.Post(WorkerBanned{"s-1", true});    // banned a second time
  CHECK(core.AttemptsStartedForRequest() == 0);
  core.Post(WorkerBanned{"s-1", false});
  CHECK(core.AttemptsStartedForRequest() == 1);
  CHECK(core.reducer().AvoidedWorkers() == 0);
  CHECK(!core.reducer().IsKnownWorker("s-2"));
}

TEST_CASE("a ban stops an attempt whose request has not been sent yet") {
  CoreUnderTest core;
  REQUIRE(core.AttemptsStartedForRequest() == 1);
  int stopped = 0;
  for (const Effect& effect : core.Post(WorkerBanned{"s-1", true}))
    stopped += std::holds_alternative<StopAttempt>(effect) ? 1 : 0;
  CHECK(stopped == 1);
}

// ---- The running daemon ----

constexpr const char* kServed = "HTTP/1.1 200 OK";
constexpr const char* kRejected = "HTTP/1.1 503 Service Unavailable";

// A daemon with a management address and one worker, s-1, that completes every job.
class DaemonWithAdmin {
  tools::HttpServer worker_;

 public:
  DaemonWithAdmin()
      : worker_(0, tools::JobRunningHandler(
                       [](const std::string&, const std::string&) { return tools::JobOutcome::kDone; })) {
    config = ConfigWithoutDiscovery();
    config["mgmt"] = "127.0.0.1:0";
    config["known"]["servers"] = {KnownServer("s-1", worker_.port())};
    daemon.emplace(config, kNoOperatorSettings);
    REQUIRE(daemon->ports().contains("mgmt"));
  }

  Socket ConnectAdmin() const { return tools::ConnectTo(daemon->ports().at("mgmt")); }
  // Sends a command on a new connection and returns the complete answer.
  std::string Command(const std::string& line) const {
    const Socket connection = ConnectAdmin();
    const std::string text = line + "\n";
    REQUIRE(send(connection.fd(), text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
    return ReadToEnd(connection);
  }
  static std::string ReadToEnd(const Socket& connection) {
    std::string text;
    char buffer[4096];
    for (ssize_t size = 0; (size = recv(connection.fd(), buffer, sizeof(buffer), 0)) > 0;)
      text.append(buffer, static_cast<std::size_t>(size));
    return text;
  }
  // Returns the value and type of one of DUMP's metrics, such as 2|c; empty if there is no metric of this
  // name.
  std::string Metric(const std::string& name) const {
    const std::string prefix = "app." + name + ":";
    std::istringstream lines(Command("DUMP"));
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with(prefix))
        return line.substr(prefix.size());
    }
    return "";
  }
  // Sends a client's request and returns the answer's status line.
  std::string Request(const std::string& id) const {
    tools::Wire wire(tools::ConnectTo(daemon->ports().at("http")));
    return tools::Post(&wire, "promesa", id, kTenant, 2'000, "x").start;
  }

  nlohmann::json config;  // the configuration with which the daemon was started
  std::optional<DaemonUnderTest> daemon;
};

TEST_CASE("metrics match the clients' answers and the worker's requests, also while the worker is banned") {
  const DaemonWithAdmin service;
  CHECK(service.Command("HEALTH").starts_with("OK"));
  CHECK(service.Request("r1") == kServed);
  CHECK(service.Request("r2") == kServed);
  CHECK(service.Metric("success.promesa") == "2|c");
  CHECK(service.Metric("backend_calls") == "2|c");
  CHECK(service.Metric("inflight") == "0|g");
  CHECK(service.Metric("hosts_listed") == "1|g");
  CHECK(service.Command("DUMP").ends_with("\nEND\n"));
  CHECK(service.Command("OFFLINE s-9").starts_with("ERR s-9 has never been"));
  CHECK(service.Command("OFFLINE s-1").starts_with("OK"));
  CHECK(service.Metric("hosts_down") == "1|g");
  CHECK(service.Request("r3") == kRejected);
  CHECK(service.Metric("busy.promesa") == "1|c");
  CHECK(service.Metric("backend_calls") == "2|c");
  CHECK(service.Command("ONLINE s-1").starts_with("OK"));
  CHECK(service.Request("r4") == kServed);
  CHECK(service.Command("RESTART s-1").starts_with("ERR unknown command"));
}

// Reloads configurations. Checks after each reload that it has been counted and that requests are served.
class ReloadScenario {
 public:
  const nlohmann::json& config() const { return service_.config; }
  std::string Metric(const std::string& name) const { return service_.Metric(name); }

  void ExpectRejected(const std::string& text) {
    Reload(text, " configuration_rejected ");
    ++rejected_;
    CheckAfterReload();
  }
  void ExpectApplied(const std::string& text) {
    Reload(text, " configuration_applied");
    ++applied_;
    CheckAfterReload();
  }

 private:
  void Reload(const std::string& text, const std::string& expected_log_line) {
    service_.daemon->WriteConfig(text, kNoOperatorSettings);
    service_.daemon->Signal(SIGHUP);
    REQUIRE(service_.daemon->WaitForLogLine(expected_log_line));
  }
  void CheckAfterReload() const {
    CHECK(service_.Metric("reconfig_failed") == std::to_string(rejected_) + "|c");
    CHECK(service_.Metric("reconfig_ok") == std::to_string(applied_) + "|c");
    CHECK(service_.Request("r" + std::to_string(rejected_ + applied_)) == kServed);
  }

  DaemonWithAdmin service_;
  int rejected_ = 0;
  int applied_ = 0;
};

void ExpectIncompleteFilesRejected(ReloadScenario* scenario) {
  const std::string complete = scenario->config().dump();
  scenario->ExpectRejected("");
  scenario->ExpectRejected(complete.substr(0, complete.size() / 2));
}

void ExpectValuesOutOfRangeRejected(ReloadScenario* scenario) {
  const std::vector<std::pair<std::string, int>> kOutOfRange = {{"/settings/limits/maxAttempts", 0},
                                                                {"/settings/grades/0/deadline", 0},
                                                                {"/settings/grades/0/deadline", -1}};
  for (const auto& [pointer, value] : kOutOfRange) {
    CAPTURE(pointer);
    nlohmann::json broken = scenario->config();
    broken[nlohmann::json::json_pointer(pointer)] = value;
    scenario->ExpectRejected(broken.dump());
  }
}

// Omits each required key in turn.
void ExpectMissingKeysRejected(ReloadScenario* scenario) {
  for (const char* object : {"", "/settings", "/settings/limits", "/settings/rules", "/settings/grades/0"}) {
    const nlohmann::json::json_pointer pointer(object);
    for (const auto& [name, value] : scenario->config().at(pointer).items()) {
      const std::string path = std::string(object) + "/" + name;
      const bool optional = path == "/known" || path.find("dedup") != std::string::npos || value.is_null();
      if (optional)
        continue;
      CAPTURE(path);
      nlohmann::json broken = scenario->config();
      broken.at(pointer).erase(name);
      scenario->ExpectRejected(broken.dump());
    }
  }
}

void ExpectChangedClassesApplied(ReloadScenario* scenario) {
  nlohmann::json changed = scenario->config();
  changed["settings"]["limits"]["maxAttempts"] = 2;
  nlohmann::json added = changed["settings"]["grades"][0];
  added["name"] = "added";
  changed["settings"]["grades"].push_back(added);
  scenario->ExpectApplied(changed.dump());
  CHECK(scenario->Metric("success.added") == "0|c");
  changed["settings"]["grades"].erase(0);
  scenario->ExpectApplied(changed.dump());
}

TEST_CASE("a reload of an invalid configuration changes nothing and is counted") {
  ReloadScenario scenario;
  ExpectIncompleteFilesRejected(&scenario);
  ExpectValuesOutOfRangeRejected(&scenario);
  ExpectMissingKeysRejected(&scenario);
  ExpectChangedClassesApplied(&scenario);
}

TEST_CASE(
    "callers that send nothing, an incomplete line, an endless line or many lines do not block a command") {
  const DaemonWithAdmin service;
  const std::vector<std::string> kNoCommands = {"", "HEAL", std::string(100'000, 'x'),
                                                std::string("\0\xff\n", 3) + std::string(1'000, '\n')};
  std::vector<Socket> callers;
  for (std::size_t i = 0; i < 40; ++i) {
    callers.push_back(service.ConnectAdmin());
    const std::string& text = kNoCommands[i % kNoCommands.size()];
    static_cast<void>(send(callers.back().fd(), text.data(), text.size(), MSG_NOSIGNAL));
  }
  CHECK(service.Command("HEALTH").starts_with("OK"));
  // This loop ends only if the daemon closes all other connections.
  for (const Socket& caller : callers)
    static_cast<void>(DaemonWithAdmin::ReadToEnd(caller));
}

}  // namespace
}  // namespace aldersill::tests
