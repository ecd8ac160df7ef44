// The operators' address: what its lines mean, what the figures say, and the started daemon as its callers
// see it.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <sstream>
#include <thread>

#include "admin/command.h"
#include "admin/figures.h"
#include "core/reducer.h"
#include "daemon_under_test.h"
#include "player.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using admin::ParseCommand;
using tools::Socket;

// ---- Without sockets ----

TEST_CASE("a line is a command, or tells what is wrong with it") {
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

TEST_CASE("figures are statsd lines, and classes keep their order") {
  Counters counters;
  counters.classes = {{.name = "b", .served = 812, .rejected = 3, .failed = 1}, {.name = "a"}};
  counters.attempts_sent = 900;
  counters.waiting_clients = 14;
  counters.ready_workers = 5;
  counters.draining_workers = 2;
  counters.reconfigurations = 4;
  counters.reconfigurations_refused = 1;
  CHECK(admin::EncodeFigures(counters, 3) ==
        "app.success.b:812|c\napp.busy.b:3|c\napp.failure.b:1|c\n"
        "app.success.a:0|c\napp.busy.a:0|c\napp.failure.a:0|c\n"
        "app.backend_calls:900|c\napp.inflight:14|g\napp.hosts_listed:7|g\napp.hosts_down:3|g\n"
        "app.reconfig_ok:4|c\napp.reconfig_failed:1|c\n");
}

// ---- A ban in the core ----

WorkerEndpoint Worker(const std::string& name, Micros started = 0) {
  WorkerEndpoint worker;
  worker.name = name;
  worker.address = "127.0.0.1:9";
  worker.started = started;
  return worker;
}

class Core {
 public:
  Core() : reducer_(Settings()) {
    Post(EndpointListUpdate{EndpointListUpdate::Form::kSnapshot, {}, {Worker("s-1")}});
  }
  std::vector<Effect> Post(Event event) {
    std::vector<Effect> effects;
    reducer_.Reduce(now_ += kMillisecond, std::move(event), &effects);
    return effects;
  }
  // How many attempts begin when a job comes.
  int Starts() {
    Job job;
    job.job_class = "fast";
    job.time_left = kSecond;
    int starts = 0;
    for (const Effect& e : Post(RequestReceived{{ClientRef::Frontend::kHttp, ++clients_}, job}))
      starts += std::holds_alternative<StartAttempt>(e);
    return starts;
  }
  const Reducer& reducer() const { return reducer_; }

 private:
  static CoreSettings Settings() {
    CoreSettings s;
    s.dispatcher.classes = {
        {.name = "fast", .deadline = 10 * kSecond, .repeat = dispatch::Repeat::kRepeatable}};
    return s;
  }
  Micros now_ = kSecond;
  std::uint64_t clients_ = 0;
  Reducer reducer_;
};

TEST_CASE("a banned worker gets nothing, whatever the list says of it, until the ban is taken back") {
  Core core;
  REQUIRE(core.Starts() == 1);
  core.Post(WorkerBanned{"s-1", true});
  CHECK(core.Starts() == 0);
  CHECK(core.reducer().AvoidedWorkers() == 1);
  using Form = EndpointListUpdate::Form;
  core.Post(EndpointListUpdate{Form::kSnapshot, {}, {Worker("s-1", 500 * kMillisecond)}});  // started anew
  CHECK(core.Starts() == 0);
  core.Post(EndpointListUpdate{Form::kSnapshot, {}, {}});  // gone
  CHECK(core.reducer().EverListed("s-1"));
  core.Post(EndpointListUpdate{Form::kSnapshot, {}, {Worker("s-1")}});  // and back
  core.Post(WorkerBanned{"s-1", true});                                 // a call that is repeated
  CHECK(core.Starts() == 0);
  core.Post(WorkerBanned{"s-1", false});
  CHECK(core.Starts() == 1);
  CHECK(core.reducer().AvoidedWorkers() == 0);
  CHECK(!core.reducer().EverListed("s-2"));
}

TEST_CASE("an attempt that is not handed over is withdrawn from a worker that is banned") {
  Core core;
  REQUIRE(core.Starts() == 1);
  int stopped = 0;
  for (const Effect& e : core.Post(WorkerBanned{"s-1", true}))
    stopped += std::holds_alternative<StopAttempt>(e);
  CHECK(stopped == 1);
}

// ---- The started daemon ----

class Service {
 public:
  Service()
      : worker(0, tools::JobRunningHandler(
                      [](const std::string&, const std::string&) { return tools::JobOutcome::kDone; })) {
    config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    config["mgmt"] = "127.0.0.1:0";
    config["known"]["servers"] = {{{"id", "s-1"},
                                   {"addr", "127.0.0.1:" + std::to_string(worker.port())},
                                   {"zone", "quilicura"},
                                   {"state", "SERVING"}}};
    daemon.emplace(config, nlohmann::json::object());
    REQUIRE(daemon->ports().contains("mgmt"));
  }
  Socket Connect() const { return tools::ConnectTo(daemon->ports().at("mgmt")); }
  // All that is answered to one line.
  std::string Call(const std::string& line) const {
    const Socket caller = Connect();
    const std::string text = line + "\n";
    REQUIRE(send(caller.fd(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    return Rest(caller);
  }
  static std::string Rest(const Socket& caller) {
    std::string answer;
    char buffer[4096];
    for (ssize_t size = 0; (size = recv(caller.fd(), buffer, sizeof(buffer), 0)) > 0;)
      answer.append(buffer, static_cast<std::size_t>(size));
    return answer;
  }
  // A figure of DUMP.
  std::string Figure(const std::string& name) const {
    std::istringstream lines(Call("DUMP"));
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("app." + name + ":"))
        return line.substr(name.size() + 5);
    }
    return "";
  }
  std::string Post(const std::string& id) const {
    tools::Wire wire(tools::ConnectTo(daemon->ports().at("http")));
    return tools::Post(&wire, "promesa", id, "hogar-del-sur", 2'000, "x").start;
  }

  tools::HttpServer worker;
  nlohmann::json config;
  std::optional<DaemonUnderTest> daemon;
};

TEST_CASE("the figures agree with what clients and the worker saw, and a ban with what is served") {
  Service s;
  CHECK(s.Call("HEALTH").starts_with("OK"));
  CHECK(s.Post("r1") == "HTTP/1.1 200 OK");
  CHECK(s.Post("r2") == "HTTP/1.1 200 OK");
  CHECK(s.Figure("success.promesa") == "2|c");
  CHECK(s.Figure("backend_calls") == "2|c");
  CHECK(s.Figure("inflight") == "0|g");
  CHECK(s.Figure("hosts_listed") == "1|g");
  CHECK(s.Call("DUMP").ends_with("\nEND\n"));
  CHECK(s.Call("OFFLINE s-9").starts_with("ERR s-9 has never been"));
  CHECK(s.Call("OFFLINE s-1").starts_with("OK"));
  CHECK(s.Figure("hosts_down") == "1|g");
  CHECK(s.Post("r3") == "HTTP/1.1 503 Service Unavailable");
  CHECK(s.Figure("busy.promesa") == "1|c");
  CHECK(s.Figure("backend_calls") == "2|c");
  CHECK(s.Call("ONLINE s-1").starts_with("OK"));
  CHECK(s.Post("r4") == "HTTP/1.1 200 OK");
  CHECK(s.Call("RESTART s-1").starts_with("ERR unknown command"));
}

TEST_CASE("a broken configuration leaves the old one whole, and is counted") {
  Service s;
  int refused = 0, taken = 0;
  const auto reload = [&](const std::string& text, bool good) {
    s.daemon->Write(text, nlohmann::json::object());
    s.daemon->Signal(SIGHUP);
    REQUIRE(s.daemon->Logs(good ? " configuration_applied" : " configuration_rejected "));
    ++(good ? taken : refused);
    CHECK(s.Figure("reconfig_failed") == std::to_string(refused) + "|c");
    CHECK(s.Figure("reconfig_ok") == std::to_string(taken) + "|c");
    CHECK(s.Post("r" + std::to_string(refused + taken)) == "HTTP/1.1 200 OK");
  };
  const std::string whole = s.config.dump();
  reload("", false);
  reload(whole.substr(0, whole.size() / 2), false);
  const std::vector<std::pair<std::string, int>> kOutOfRange = {{"/settings/limits/maxAttempts", 0},
                                                                {"/settings/grades/0/deadline", 0},
                                                                {"/settings/grades/0/deadline", -1}};
  for (const auto& [pointer, value] : kOutOfRange) {
    nlohmann::json broken = s.config;
    broken[nlohmann::json::json_pointer(pointer)] = value;
    reload(broken.dump(), false);
  }
  // Short of a key, wherever it lies.
  for (const char* object : {"", "/settings", "/settings/limits", "/settings/rules", "/settings/grades/0"}) {
    for (const auto& [name, value] : s.config.at(nlohmann::json::json_pointer(object)).items()) {
      const std::string path = std::string(object) + "/" + name;
      if (path == "/known" || path.find("dedup") != std::string::npos || value.is_null())
        continue;
      CAPTURE(path);
      nlohmann::json broken = s.config;
      broken.at(nlohmann::json::json_pointer(object)).erase(name);
      reload(broken.dump(), false);
    }
  }
  nlohmann::json changed = s.config;
  changed["settings"]["limits"]["maxAttempts"] = 2;
  nlohmann::json added = changed["settings"]["grades"][0];
  added["name"] = "added";
  changed["settings"]["grades"].push_back(added);
  reload(changed.dump(), true);
  CHECK(s.Figure("success.added") == "0|c");
  changed["settings"]["grades"].erase(0);
  reload(changed.dump(), true);
}

TEST_CASE("callers that say nothing, half a line, an endless one or many leave room for one that asks") {
  Service s;
  std::vector<Socket> crowd;
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(s.Connect());
    const std::string text = i % 4 == 0   ? ""
                             : i % 4 == 1 ? "HEAL"
                             : i % 4 == 2 ? std::string(100'000, 'x')
                                          : std::string("\0\xff\n", 3) + std::string(1'000, '\n');
    static_cast<void>(send(crowd.back().fd(), text.data(), text.size(), MSG_NOSIGNAL));
  }
  CHECK(s.Call("HEALTH").starts_with("OK"));
  // Those that are left are hung up on in bounded time.
  for (const Socket& silent : crowd)
    static_cast<void>(Service::Rest(silent));
}

}  // namespace
}  // namespace aldersill::tests
