// Tests of the upgrade of a running dispatcher: the files and messages that its processes share, received
// jobs in the core, and daemons that replace one another on one endpoint.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <exception>
#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "blocked_worker.h"
#include "core/reducer.h"
#include "daemon_under_test.h"
#include "platform_config.h"
#include "player.h"
#include "stand_ins.h"
#include "upgrade/ban_list.h"
#include "upgrade/job_codec.h"
#include "upgrade/job_id_locks.h"
#include "upgrade/process_group.h"

namespace aldersill::tests {
namespace {

using tools::Socket;
using upgrade::ProcessGroup;

// ---- Files and messages ----

TEST_CASE("a ban list decodes to what was encoded; incomplete text and other formats are rejected") {
  const upgrade::BanList bans{"s-1", "s-2"};
  const std::string text = upgrade::EncodeBans(bans);
  CHECK(upgrade::DecodeBans(text) == bans);
  for (std::size_t size = 0; size + 2 < text.size(); ++size)
    CHECK(!upgrade::DecodeBans(text.substr(0, size)));
  for (const char* foreign : {"[]", "{}", R"({"format":"other","workers":[]})",
                              R"({"format":"aldersill-bans-1","workers":[1]})", "\xff\xfe"})
    CHECK(!upgrade::DecodeBans(foreign));
}

TEST_CASE("members of a group count each other while they run, and share one ban list") {
  const TemporaryDirectory directory;
  ProcessGroup first(directory.path(), 1);
  CHECK(first.Others().count() == 0);
  {
    ProcessGroup second(directory.path(), 2);
    CHECK(first.Others().newer == 1);
    CHECK(second.Others().older == 1);
    CHECK(first.OthersListening().count() == 0);
    CHECK(first.NewestListeningSocket().empty());
    second.SetListening(true);
    CHECK(first.OthersListening().newer == 1);
    CHECK(first.NewestListeningSocket() == second.OwnSocket());
    first.ChangeBans([](upgrade::BanList* bans) { bans->insert("s-1"); });
    second.ChangeBans([](upgrade::BanList* bans) { bans->insert("s-2"); });
    CHECK(first.BansChanged());
    CHECK(first.ReadBans() == upgrade::BanList{"s-1", "s-2"});
    CHECK(!first.BansChanged());
  }
  CHECK(first.Others().count() == 0);
  std::ofstream(directory.path() / "process-0000000000000003") << "left by a killed process";
  CHECK(first.Others().count() == 0);
  std::ofstream(directory.path() / "bans.json") << "{";
  CHECK(!first.ReadBans());
}

// Guards against a process that starts and is taken for a killed one: its file used to be visible before it
// was locked, so another process could remove it, or hold its lock at that moment.
TEST_CASE("a member is known to the others from its start on, also if they look at that moment") {
  constexpr std::uint64_t kStarts = 20'000;
  constexpr int kObservers = 4;
  const TemporaryDirectory directory;
  const ProcessGroup first(directory.path(), 1);
  std::atomic<bool> done = false;
  std::vector<std::jthread> observers;
  for (int observer = 0; observer < kObservers; ++observer) {
    observers.emplace_back([&] {
      while (!done)
        static_cast<void>(first.Others());
    });
  }
  std::uint64_t unknown = 0;
  for (std::uint64_t start = 2; start < 2 + kStarts; ++start) {
    try {
      const ProcessGroup starting(directory.path(), start);
      unknown += first.Others().newer == 1 ? 0 : 1;
    } catch (const std::exception&) {
      ++unknown;
    }
  }
  done = true;
  observers.clear();
  CHECK(unknown == 0);
}

// Guards against a running process that is taken for a killed one: a process without a free descriptor used
// to remove the files that it could not open.
TEST_CASE("a member is not removed by a process that has no free descriptor") {
  const TemporaryDirectory directory;
  const ProcessGroup first(directory.path(), 1);
  const ProcessGroup second(directory.path(), 2);
  const int lowest_free = dup(STDERR_FILENO);
  close(lowest_free);
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  // One descriptor is left, which the listing of the directory takes.
  const rlimit lowered{.rlim_cur = static_cast<rlim_t>(lowest_free) + 1, .rlim_max = limit.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  static_cast<void>(first.Others());
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  CHECK(first.Others().newer == 1);
}

TEST_CASE("a transferred job with any bytes decodes to what was encoded; incomplete messages are rejected") {
  upgrade::TransferredJob sent;
  sent.job.id = "r1";
  sent.job.job_class = "cobro";
  sent.job.body = std::string("\0\xff\n", 3);
  sent.job.time_left = 12'345;
  sent.job.subject = 7;
  sent.may_have_run = sent.keep_alive = true;
  sent.running = {"s-1", "127.0.0.1:9", std::string("HTTP/1.1 200 OK\r\n\0", 18)};
  const std::string bytes = upgrade::EncodeJob(sent);
  const auto received = upgrade::DecodeJob(bytes);
  REQUIRE(received);
  CHECK(received->job.body == sent.job.body);
  CHECK(received->job.time_left == sent.job.time_left);
  CHECK(received->job.subject == sent.job.subject);
  CHECK(!received->job.work);
  CHECK(received->may_have_run);
  REQUIRE(received->running);
  CHECK(received->running->received == sent.running->received);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!upgrade::DecodeJob(bytes.substr(0, size)));
}

TEST_CASE("a job id that is open in one process is locked against the others until it ends there") {
  using upgrade::JobIdLocks;
  using Mode = JobIdLocks::Mode;
  const TemporaryDirectory directory;
  JobIdLocks next(directory.path());
  {
    JobIdLocks old(directory.path());
    CHECK(old.Lock("r1", Mode::kExclusive));
    CHECK(old.Lock("r1", Mode::kExclusive));
    CHECK(next.Lock("r2", Mode::kExclusive));
    CHECK(!next.Lock("r1", Mode::kExclusive));
    CHECK(!next.Lock("r1", Mode::kShared));
    old.Unlock("r1");
    CHECK(next.Lock("r1", Mode::kExclusive));
    next.Unlock("r1");
    // A transfer: there is no time at which a third process could lock the id.
    CHECK(old.Lock("r3", Mode::kExclusive));
    CHECK(old.Lock("r3", Mode::kShared));
    CHECK(!next.Lock("r3", Mode::kExclusive));
    CHECK(next.Lock("r3", Mode::kShared));
    CHECK(old.Lock("r4", Mode::kExclusive));
  }
  JobIdLocks third(directory.path());
  CHECK(!third.Lock("r3", Mode::kExclusive));
  CHECK(third.Lock("r4", Mode::kExclusive));  // its process has ended
}

// ---- Received jobs in the core ----

CoreSettings SettingsOfOneClass(dispatch::Repeat repeat) {
  CoreSettings settings;
  settings.dispatcher.classes = {{.name = "job", .repeat = repeat, .window = kSecond}};
  return settings;
}

JobReceived ReceivedJob(bool may_have_run) {
  JobReceived received;
  received.job.job_class = "job";
  received.job.time_left = kSecond;
  received.worker = "s-1";
  received.may_have_run = may_have_run;
  return received;
}

// Returns the only effect of type T in `effects`. Fails the test if there is none or more than one.
template <typename T>
T OnlyEffect(const std::vector<Effect>& effects) {
  std::optional<T> found;
  for (const Effect& effect : effects) {
    if (const T* typed_effect = std::get_if<T>(&effect)) {
      REQUIRE(!found);
      found = *typed_effect;
    }
  }
  REQUIRE(found);
  return *found;
}

// Returns the answer to a received job whose attempt ends with `outcome`. `may_have_run`: whether an earlier
// attempt may have run the job.
FinalAnswer AnswerToReceivedJob(dispatch::Repeat repeat, Outcome outcome, bool may_have_run = false) {
  Reducer reducer(SettingsOfOneClass(repeat));
  std::vector<Effect> effects;
  reducer.Reduce(kSecond, ReceivedJob(may_have_run), &effects);
  const AttemptId attempt = OnlyEffect<ResumeAttempt>(effects).attempt;
  effects.clear();
  reducer.Reduce(kSecond + 1,
                 AttemptEnded{.attempt = attempt, .outcome = outcome, .result = "ran", .report = {}},
                 &effects);
  CHECK(reducer.IsIdle());
  return OnlyEffect<Answer>(effects).answer;
}

TEST_CASE("a received job is answered once, and rejected only if it cannot have run or may be repeated") {
  using dispatch::Repeat;
  for (const Repeat repeat : {Repeat::kRepeatable, Repeat::kKeyed, Repeat::kUnsafe}) {
    const bool unsafe = repeat == Repeat::kUnsafe;
    CHECK(std::holds_alternative<Served>(AnswerToReceivedJob(repeat, Outcome::kServed)));
    CHECK(std::holds_alternative<Failure>(AnswerToReceivedJob(repeat, Outcome::kLost)) == unsafe);
    CHECK(std::holds_alternative<Rejection>(AnswerToReceivedJob(repeat, Outcome::kRejected)));
    CHECK(std::holds_alternative<Failure>(AnswerToReceivedJob(repeat, Outcome::kRejected, true)) == unsafe);
  }
}

// ---- Started daemons ----

constexpr const char* kServed = "HTTP/1.1 200 OK";
constexpr const char* kDuplicate = "HTTP/1.1 409 Conflict";
constexpr const char* kRejected = "HTTP/1.1 503 Service Unavailable";
constexpr std::chrono::seconds kTimeout{15};

// Reserves a port for this test while daemons start and exit on it. The socket is bound with SO_REUSEPORT but
// does not listen, so other sockets of this user can listen on the port.
Socket ReservePort() {
  Socket reserved(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(reserved.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(reserved.fd(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  const sockaddr_in address = tools::Loopback(0);
  REQUIRE(bind(reserved.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  return reserved;
}

// Sends a command to the daemon's management address and returns the answer.
std::string Command(const DaemonUnderTest& daemon, const std::string& line) {
  tools::Wire wire(tools::ConnectTo(daemon.ports().at("mgmt")));
  wire.Write(line + "\n");
  std::string answer;
  try {
    while (true)
      answer += wire.ReadLine() + "\n";
  } catch (const std::exception&) {  // ReadLine throws at the end of the stream
  }
  return answer;
}

// Repeats the command until its answer contains `text`.
void AwaitAnswer(const DaemonUnderTest& daemon, const std::string& line, const std::string& text) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (Command(daemon, line).find(text) == std::string::npos)
    REQUIRE(std::chrono::steady_clock::now() < deadline);
}

// The endpoint, the worker and the configuration of a dispatcher whose processes replace one another.
class Dispatcher {
 public:
  Dispatcher() : reserved_(ReservePort()) {
    setenv("TMPDIR", directory_.path().c_str(), 1);
    config = ConfigWithoutDiscovery();
    config["listen"] = LoopbackAddress(port());
    config["mgmt"] = "127.0.0.1:0";
    config["known"]["servers"] = {KnownServer("s-1", worker.port())};
    RaiseTenantQuotas(&config);
  }
  ~Dispatcher() { unsetenv("TMPDIR"); }

  std::unique_ptr<DaemonUnderTest> StartProcess() const {
    auto daemon = std::make_unique<DaemonUnderTest>(config, kNoOperatorSettings);
    REQUIRE(daemon->ports().contains("mgmt"));
    return daemon;
  }
  // Starts another process and returns it once it accepts clients.
  std::unique_ptr<DaemonUnderTest> StartReadyProcess() const {
    auto daemon = StartProcess();
    AwaitAnswer(*daemon, "HEALTH", "OK");
    return daemon;
  }
  std::uint16_t port() const { return tools::PortOf(reserved_); }
  // Sends a request on a new connection and returns the answer's status line.
  std::string Request(const std::string& id, int deadline_ms = 20'000) const {
    tools::Wire wire(tools::ConnectTo(port()));
    return tools::Post(&wire, "promesa", id, kTenant, deadline_ms, "x").start;
  }

  BlockedWorker worker;
  nlohmann::json config;

 private:
  const TemporaryDirectory directory_;
  const Socket reserved_;
};

TEST_CASE("an in-flight job at an upgrade is answered by the next process, on its client's connection") {
  Dispatcher dispatcher;
  const auto old = dispatcher.StartProcess();
  tools::Wire client(tools::ConnectTo(dispatcher.port()));
  std::thread requests([&] {
    CHECK(tools::Post(&client, "cobro", "r1", kTenant, 20'000, "x").body == "ran r1");
    // The connection stays open, and the next process serves it.
    CHECK(tools::Post(&client, "promesa", "r2", kTenant, 20'000, "x").start == kServed);
  });
  dispatcher.worker.AwaitRun("r1");
  const auto next = dispatcher.StartReadyProcess();
  old->Signal(SIGTERM);
  CHECK(old->WaitForExit() == 0);  // before the job completes
  CHECK(old->log().find("jobs_transferred count=1") != std::string::npos);
  dispatcher.worker.CompleteJobs();
  requests.join();
  CHECK(Command(*next, "DUMP").find("app.success.cobro:1|c") != std::string::npos);
}

// Sends requests on new connections, of which the kernel gives some to each listening process. Returns the
// distinct status lines that differ from `expected`, separated by commas.
std::string UnexpectedAnswers(const Dispatcher& dispatcher, const std::string& id,
                              const std::string& expected) {
  constexpr int kConnections = 20;
  constexpr int kShortDeadlineMs = 500;
  std::set<std::string> unexpected;
  for (int connection = 0; connection < kConnections; ++connection)
    unexpected.insert(dispatcher.Request(id, kShortDeadlineMs));
  unexpected.erase(expected);
  std::string text;
  for (const std::string& line : unexpected)
    text += (text.empty() ? "" : ", ") + line;
  return text;
}

// Guards against a second run of a job, and a client that is answered with the result of another client's
// job: a request with an id that was open in the old process used to be admitted by the next one.
TEST_CASE("the id of an open job is refused by each process, before and after the job's transfer") {
  Dispatcher dispatcher;
  const auto old = dispatcher.StartProcess();
  tools::Wire client(tools::ConnectTo(dispatcher.port()));
  std::thread request(
      [&] { CHECK(tools::Post(&client, "cobro", "r1", kTenant, 20'000, "x").body == "ran r1"); });
  dispatcher.worker.AwaitRun("r1");
  const auto next = dispatcher.StartReadyProcess();
  CHECK(UnexpectedAnswers(dispatcher, "r1", kDuplicate) == "");
  old->Signal(SIGTERM);
  CHECK(UnexpectedAnswers(dispatcher, "r1", kDuplicate) == "");
  CHECK(old->WaitForExit() == 0);
  // The next process holds the id as well, so a third one knows it. Nothing is asked before that, as each
  // request with the id locks it anew.
  const auto third = dispatcher.StartReadyProcess();
  CHECK(UnexpectedAnswers(dispatcher, "r1", kDuplicate) == "");
  dispatcher.worker.CompleteJobs();
  request.join();
}

TEST_CASE("no new connection is refused or reset while one process replaces another") {
  Dispatcher dispatcher;
  dispatcher.worker.CompleteJobs();
  auto current = dispatcher.StartProcess();
  int requests = 0;
  for (int upgrades = 0; upgrades < 4; ++upgrades) {
    CAPTURE(upgrades);
    auto next = dispatcher.StartReadyProcess();
    current->Signal(SIGTERM);
    for (std::optional<int> exit_code; !exit_code; exit_code = current->ExitCodeIfEnded())
      REQUIRE(dispatcher.Request("r" + std::to_string(++requests)) == kServed);
    current = std::move(next);
  }
  CHECK(requests > 100);
}

TEST_CASE("a process that cannot start does not disturb the one that serves clients") {
  Dispatcher dispatcher;
  dispatcher.worker.CompleteJobs();
  const auto running = dispatcher.StartProcess();
  nlohmann::json bad = dispatcher.config;
  bad["settings"]["grades"] = nlohmann::json::array();
  DaemonUnderTest failing(bad, kNoOperatorSettings);
  CHECK(failing.WaitForExit() == 1);
  CHECK(dispatcher.Request("r1") == kServed);
}

TEST_CASE(
    "a ban applies in both processes, and in the next one after its predecessor has exited, until lifted") {
  Dispatcher dispatcher;
  dispatcher.worker.CompleteJobs();
  const auto old = dispatcher.StartProcess();
  CHECK(Command(*old, "OFFLINE s-1").starts_with("OK"));
  const auto next = dispatcher.StartProcess();
  AwaitAnswer(*next, "DUMP", "app.hosts_down:1|g");
  CHECK(Command(*next, "ONLINE s-1").starts_with("OK"));
  AwaitAnswer(*old, "DUMP", "app.hosts_down:0|g");
  CHECK(Command(*old, "OFFLINE s-1").starts_with("OK"));
  AwaitAnswer(*next, "DUMP", "app.hosts_down:1|g");
  old->Signal(SIGKILL);
  CHECK(old->WaitForExit() == -SIGKILL);
  CHECK(dispatcher.Request("r1", 2'000) == kRejected);
  CHECK(Command(*next, "ONLINE s-1").starts_with("OK"));
  CHECK(dispatcher.Request("r2") == kServed);
}

}  // namespace
}  // namespace aldersill::tests
