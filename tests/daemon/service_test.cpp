// Runs the same jobs with the same faults over both frontends. The share of the priority weight that is
// served must be the same, and the clients' answers and the workers' runs must satisfy the rules of the job
// classes.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon_under_test.h"
#include "stand_ins.h"

namespace aldersill::tests {
namespace {

using tools::JobOutcome;
using Clock = std::chrono::steady_clock;

struct JobClass {
  const char* name;
  double priority_weight;
  int deadline_ms;
  int max_runs;  // runs of one job that the class's repeat rule allows
};
const JobClass kClasses[] = {
    {"certificado", 5.0, 10'000, 5}, {"promesa", 3.0, 5'000, 5}, {"cobro", 8.0, 25'000, 1}};
constexpr int kJobsPerClass = 12;
constexpr std::chrono::milliseconds kRunTime(2);  // long enough to detect concurrent runs of one job

std::string JobId(const JobClass& job_class, int index) {
  return std::string(job_class.name) + "-" + std::to_string(index);
}
// In each class, the first run of one job is dropped before its end, and the first run of another job fails.
bool IsDropped(const std::string& id) { return id.ends_with("-3"); }
bool IsFailed(const std::string& id) { return id.ends_with("-7"); }

JobOutcome FirstRunOutcome(const std::string& id) {
  if (IsDropped(id))
    return JobOutcome::kDrop;
  return IsFailed(id) ? JobOutcome::kFail : JobOutcome::kDone;
}

// Records the runs and answers of all jobs. Thread-safe.
class JobRecorder {
 public:
  // The function with which a worker runs a job.
  tools::RunJob Runner() {
    return [this](const std::string& id, const std::string&) {
      const int run = BeginRun(id);
      std::this_thread::sleep_for(kRunTime);
      EndRun(id);
      return run > 1 ? JobOutcome::kDone : FirstRunOutcome(id);
    };
  }

  void RecordAnswer(const std::string& id, bool served, Clock::duration elapsed) {
    const std::lock_guard lock(mutex_);
    JobRecord& job = jobs_[id];
    ++job.answers;
    job.served = served;
    job.elapsed = elapsed;
  }

  // Checks every job against the rules of its class. Returns the share of the priority weight that was
  // served.
  double CheckRules() {
    const std::lock_guard lock(mutex_);
    double total_weight = 0.0;
    double served_weight = 0.0;
    for (const JobClass& job_class : kClasses) {
      for (int i = 0; i < kJobsPerClass; ++i) {
        const std::string id = JobId(job_class, i);
        CheckJob(id, job_class);
        total_weight += job_class.priority_weight;
        served_weight += jobs_[id].served ? job_class.priority_weight : 0.0;
      }
    }
    CHECK(concurrent_runs_ == 0);
    return served_weight / total_weight;
  }

 private:
  struct JobRecord {
    int runs = 0;
    int running = 0;
    int answers = 0;
    bool served = false;
    Clock::duration elapsed{};
  };

  // Returns the number of the run, from 1.
  int BeginRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    JobRecord& job = jobs_[id];
    if (++job.running > 1)
      ++concurrent_runs_;
    return ++job.runs;
  }
  void EndRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    --jobs_[id].running;
  }
  void CheckJob(const std::string& id, const JobClass& job_class) {
    CAPTURE(id);
    const JobRecord& job = jobs_[id];
    CHECK(job.answers == 1);
    CHECK(job.elapsed < std::chrono::milliseconds(job_class.deadline_ms));
    CHECK(job.runs >= 1);
    CHECK(job.runs <= job_class.max_runs);
    if (job_class.max_runs == 1 && (IsDropped(id) || IsFailed(id)))
      CHECK(!job.served);
  }

  std::mutex mutex_;
  std::map<std::string, JobRecord> jobs_;
  int concurrent_runs_ = 0;
};

// Requests a job and waits for its answer; true if it was served.
using RequestJob = std::function<bool(const JobClass&, const std::string& id)>;

// Starts one client thread for each class. Each client requests its jobs one after another.
void RequestAllJobs(JobRecorder* recorder, const std::function<RequestJob()>& connect) {
  std::vector<std::thread> clients;
  for (const JobClass& job_class : kClasses) {
    clients.emplace_back([&job_class, recorder, &connect] {
      const RequestJob request_job = connect();
      for (int i = 0; i < kJobsPerClass; ++i) {
        const std::string id = JobId(job_class, i);
        const auto start = Clock::now();
        const bool served = request_job(job_class, id);
        recorder->RecordAnswer(id, served, Clock::now() - start);
      }
    });
  }
  for (std::thread& client : clients)
    client.join();
}

nlohmann::json Config() {
  nlohmann::json config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
  // Enough quota for all jobs at once, as the throttle's rejections are not compared here.
  for (auto& tenant : config["settings"]["tenants"])
    tenant["quotaPerS"] = 1000.0;
  return config;
}

const nlohmann::json kFrontendSettings = {{"faktory", {{"enabled", true}, {"listen", "127.0.0.1:0"}}}};

double OverFaktory() {
  JobRecorder recorder;
  nlohmann::json config = Config();
  config.erase("discovery");  // the connected Faktory workers are the endpoint list
  DaemonUnderTest daemon(config, kFrontendSettings);
  const std::uint16_t port = daemon.ports().at("faktory");
  std::vector<std::unique_ptr<tools::FaktorySlot>> slots;
  for (int i = 0; i < 6; ++i)
    slots.push_back(
        std::make_unique<tools::FaktorySlot>(port, "w" + std::to_string(i % 3), recorder.Runner()));
  // Waits for the workers, as a job that is pushed before one has connected is rejected.
  tools::FaktorySession info(port);
  while (info.SendCommand("INFO").value().find("\"workers\":3") == std::string::npos) {
  }
  RequestAllJobs(&recorder, [port] {
    const auto session = std::make_shared<tools::FaktorySession>(port);
    return [session](const JobClass& job_class, const std::string& id) {
      const nlohmann::json job = {
          {"jid", id}, {"jobtype", job_class.name}, {"args", {1}}, {"custom", {{"tenant", "hogar-del-sur"}}}};
      const std::string reply = session->SendCommand("PUSH " + job.dump()).value();
      CHECK((reply == "+OK" || reply.starts_with("-ERR FAILED") || reply.starts_with("-ERR NACK")));
      return reply == "+OK";
    };
  });
  slots.clear();
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  return recorder.CheckRules();
}

// Waits for readiness, as the layer in front of a dispatcher does.
void AwaitReady(std::uint16_t port) {
  tools::Wire wire(tools::ConnectTo(port));
  for (std::string answer; answer != "HTTP/1.1 200 OK";) {
    wire.Write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    answer = tools::ReadHttp(&wire).start;
  }
}

double OverHttp() {
  JobRecorder recorder;
  nlohmann::json servers = nlohmann::json::array();
  std::vector<std::unique_ptr<tools::HttpServer>> workers;
  for (int i = 0; i < 3; ++i) {
    workers.push_back(std::make_unique<tools::HttpServer>(0, tools::JobRunningHandler(recorder.Runner())));
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
  DaemonUnderTest daemon(config, kFrontendSettings);
  const std::uint16_t port = daemon.ports().at("http");
  AwaitReady(port);
  RequestAllJobs(&recorder, [port] {
    const auto wire = std::make_shared<tools::Wire>(tools::ConnectTo(port));
    return [wire](const JobClass& job_class, const std::string& id) {
      const tools::HttpMessage answer =
          tools::Post(wire.get(), job_class.name, id, "hogar-del-sur", job_class.deadline_ms, "x");
      const bool served = answer.start == "HTTP/1.1 200 OK";
      if (served)
        CHECK(answer.body == "ran " + id);
      return served;
    };
  });
  daemon.Signal(SIGTERM);
  CHECK(daemon.WaitForExit() == 0);
  return recorder.CheckRules();
}

TEST_CASE("both frontends serve the same share and keep the same rules") {
  const double faktory = OverFaktory();
  const double http = OverHttp();
  CHECK(faktory == doctest::Approx(http));
  // All jobs are served except two of cobro, which may have run and must not be repeated.
  CHECK(http == doctest::Approx(1.0 - 2.0 * 8.0 / (kJobsPerClass * 16.0)));
}

}  // namespace
}  // namespace aldersill::tests
