// The same small plan of jobs over both frontends, with the same troubles: the service figure must be the
// same, and what the rules ask is checked from outside, on what clients got and workers ran.
#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "daemon_under_test.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using tools::JobOutcome;
using Clock = std::chrono::steady_clock;

struct Class {
  const char* name;
  double priority_weight;
  int deadline_ms;
  int most_runs;  // that the repeat rule allows of what may have run
};
const Class kClasses[] = {
    {"certificado", 5.0, 10'000, 5}, {"promesa", 3.0, 5'000, 5}, {"cobro", 8.0, 25'000, 1}};
constexpr int kJobsOfAClass = 12;

// Of each class one job's first run is dropped mid-job, one's fails, the others are done.
std::string JobId(const Class& c, int i) { return std::string(c.name) + "-" + std::to_string(i); }
bool IsDropped(const std::string& id) { return id.ends_with("-3"); }
bool IsFailed(const std::string& id) { return id.ends_with("-7"); }

class Ledger {
 public:
  tools::RunJob Runner() {
    return [this](const std::string& id, const std::string&) {
      int run = 0;
      {
        const std::lock_guard lock(mutex_);
        run = ++runs_[id];
        if (++running_[id] > 1)
          ++concurrent_;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));  // its running time: two at once would meet
      const std::lock_guard lock(mutex_);
      --running_[id];
      if (run > 1)
        return JobOutcome::kDone;
      return IsDropped(id) ? JobOutcome::kDrop : IsFailed(id) ? JobOutcome::kFail : JobOutcome::kDone;
    };
  }
  void Answered(const std::string& id, bool served, Clock::duration took) {
    const std::lock_guard lock(mutex_);
    ++answers_[id];
    served_[id] = served;
    took_[id] = took;
  }
  // Checks the rules; the share of the worth that was served.
  double Judge() {
    const std::lock_guard lock(mutex_);
    double asked = 0.0, got = 0.0;
    for (const Class& c : kClasses) {
      for (int i = 0; i < kJobsOfAClass; ++i) {
        const std::string id = JobId(c, i);
        CAPTURE(id);
        CHECK(answers_[id] == 1);
        CHECK(took_[id] < std::chrono::milliseconds(c.deadline_ms));
        CHECK(runs_[id] >= 1);
        CHECK(runs_[id] <= c.most_runs);
        if (c.most_runs == 1 && (IsDropped(id) || IsFailed(id)))
          CHECK(!served_[id]);
        asked += c.priority_weight;
        got += served_[id] ? c.priority_weight : 0.0;
      }
    }
    CHECK(concurrent_ == 0);
    return got / asked;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_, running_, answers_;
  std::map<std::string, bool> served_;
  std::map<std::string, Clock::duration> took_;
  int concurrent_ = 0;
};

// A client a class, its jobs one after the other.
void Play(Ledger* ledger,
          const std::function<std::function<bool(const Class&, const std::string&)>()>& connect) {
  std::vector<std::thread> clients;
  for (const Class& c : kClasses) {
    clients.emplace_back([&c, ledger, &connect] {
      const auto ask = connect();
      for (int i = 0; i < kJobsOfAClass; ++i) {
        const std::string id = JobId(c, i);
        const auto began = Clock::now();
        const bool served = ask(c, id);
        ledger->Answered(id, served, Clock::now() - began);
      }
    });
  }
  for (std::thread& client : clients)
    client.join();
}

nlohmann::json Config() {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  // Room for all that comes at once: which of them the throttle would refuse is not what is compared here.
  for (auto& tenant : config["settings"]["tenants"])
    tenant["quotaPerS"] = 1000.0;
  return config;
}

const nlohmann::json kFronts = {{"faktory", {{"enabled", true}, {"listen", "127.0.0.1:0"}}}};

double OverFaktory() {
  Ledger ledger;
  nlohmann::json config = Config();
  config.erase("discovery");  // the sessions are the name table
  DaemonUnderTest daemon(config, kFronts);
  const std::uint16_t port = daemon.ports().at("faktory");
  std::vector<std::unique_ptr<tools::FaktorySlot>> slots;
  for (int i = 0; i < 6; ++i)
    slots.push_back(std::make_unique<tools::FaktorySlot>(port, "w" + std::to_string(i % 3), ledger.Runner()));
  // The first jobs must find a worker: until one is greeted, a push is refused.
  tools::FaktorySession info(port);
  while (info.SendCommand("INFO").value().find("\"workers\":3") == std::string::npos) {
  }
  Play(&ledger, [port] {
    const auto session = std::make_shared<tools::FaktorySession>(port);
    return [session](const Class& c, const std::string& id) {
      const nlohmann::json job = {
          {"jid", id}, {"jobtype", c.name}, {"args", {1}}, {"custom", {{"tenant", "hogar-del-sur"}}}};
      const std::string reply = session->SendCommand("PUSH " + job.dump()).value();
      CHECK((reply == "+OK" || reply.starts_with("-ERR FAILED") || reply.starts_with("-ERR NACK")));
      return reply == "+OK";
    };
  });
  slots.clear();
  daemon.Signal(SIGTERM);
  CHECK(daemon.Wait() == 0);
  return ledger.Judge();
}

// As the layer before a dispatcher does: clients come once it says that it is ready.
void AwaitReady(std::uint16_t port) {
  tools::Wire wire(tools::ConnectTo(port));
  for (std::string answer; answer != "HTTP/1.1 200 OK";) {
    wire.Write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    answer = tools::ReadHttp(&wire).start;
  }
}

double OverHttp() {
  Ledger ledger;
  nlohmann::json servers = nlohmann::json::array();
  std::vector<std::unique_ptr<tools::HttpServer>> workers;
  for (int i = 0; i < 3; ++i) {
    workers.push_back(std::make_unique<tools::HttpServer>(0, tools::JobRunningHandler(ledger.Runner())));
    servers.push_back({{"id", "s-" + std::to_string(i)},
                       {"addr", "127.0.0.1:" + std::to_string(workers.back()->port())},
                       {"zone", "quilicura"},
                       {"kind", "tipo-grande"},
                       {"state", "SERVING"}});
  }
  tools::StandInDiscovery discovery(0, servers.dump());
  nlohmann::json config = Config();
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  config["known"] = {{"version", 1}, {"full", true}, {"servers", servers}};
  DaemonUnderTest daemon(config, kFronts);
  const std::uint16_t port = daemon.ports().at("http");
  AwaitReady(port);
  Play(&ledger, [port] {
    const auto wire = std::make_shared<tools::Wire>(tools::ConnectTo(port));
    return [wire](const Class& c, const std::string& id) {
      const tools::HttpMessage answer =
          tools::Post(wire.get(), c.name, id, "hogar-del-sur", c.deadline_ms, "x");
      const bool served = answer.start == "HTTP/1.1 200 OK";
      if (served)
        CHECK(answer.body == "ran " + id);
      return served;
    };
  });
  daemon.Signal(SIGTERM);
  CHECK(daemon.Wait() == 0);
  return ledger.Judge();
}

TEST_CASE("both frontends give the same service and keep the same rules") {
  const double faktory = OverFaktory();
  const double http = OverHttp();
  CHECK(faktory == doctest::Approx(http));
  // All but the two of cobro that may have run and so could not be repeated.
  CHECK(http == doctest::Approx(1.0 - 2.0 * 8.0 / (kJobsOfAClass * 16.0)));
}

}  // namespace
}  // namespace aldersill::tests
