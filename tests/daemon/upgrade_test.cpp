// Upgrades: what two processes of one dispatcher share, without sockets, and two started daemons on one
// endpoint.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "core/reducer.h"
#include "daemon_under_test.h"
#include "player.h"
#include "stand_ins.h"
#include "upgrade/ban_list.h"
#include "upgrade/job_codec.h"
#include "upgrade/process_group.h"

namespace aldersill::tests {
namespace {

using tools::Socket;
using upgrade::ProcessGroup;

class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::filesystem::path path;
};

// ---- What they share ----

TEST_CASE("bans are read as they were written, and nothing that is torn or foreign is taken for bans") {
  const upgrade::BanList bans{"s-1", "s-2"};
  const std::string text = upgrade::EncodeBans(bans);
  CHECK(upgrade::DecodeBans(text) == bans);
  for (std::size_t size = 0; size + 2 < text.size(); ++size)
    CHECK(!upgrade::DecodeBans(text.substr(0, size)));
  for (const char* foreign : {"[]", "{}", R"({"format":"other","workers":[]})",
                              R"({"format":"aldersill-bans-1","workers":[1]})", "\xff\xfe"})
    CHECK(!upgrade::DecodeBans(foreign));
}

TEST_CASE("processes see one another while they are there, and bans are one list for all") {
  const Folder folder;
  ProcessGroup first(folder.path, 1);
  CHECK(first.Others().count() == 0);
  {
    ProcessGroup second(folder.path, 2);
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
  std::ofstream(folder.path / "process-0000000000000003") << "left by one that was killed";
  CHECK(first.Others().count() == 0);
  std::ofstream(folder.path / "bans.json") << "{";
  CHECK(!first.ReadBans());
}

TEST_CASE("a job is handed over as it was, whatever bytes it holds") {
  upgrade::TransferredJob job;
  job.job.id = "r1";
  job.job.job_class = "cobro";
  job.job.body = std::string("\0\xff\n", 3);
  job.job.time_left = 12'345;
  job.job.subject = 7;
  job.may_have_run = job.keep_alive = true;
  job.running = {"s-1", "127.0.0.1:9", std::string("HTTP/1.1 200 OK\r\n\0", 18)};
  const std::string bytes = upgrade::EncodeJob(job);
  const auto read = upgrade::DecodeJob(bytes);
  REQUIRE(read);
  CHECK(read->job.body == job.job.body);
  CHECK(read->job.time_left == job.job.time_left);
  CHECK(read->job.subject == job.job.subject);
  CHECK(!read->job.work);
  CHECK(read->may_have_run);
  REQUIRE(read->running);
  CHECK(read->running->received == job.running->received);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(!upgrade::DecodeJob(bytes.substr(0, size)));
}

// ---- An adopted job in the core ----

FinalAnswer AnswerToAdopted(dispatch::Repeat repeat, Outcome outcome, bool may_have_run = false) {
  CoreSettings settings;
  settings.dispatcher.classes = {{.name = "job", .repeat = repeat, .window = kSecond}};
  Reducer reducer(settings);
  JobReceived adopted;
  adopted.job.job_class = "job";
  adopted.job.time_left = kSecond;
  adopted.worker = "s-1";
  adopted.may_have_run = may_have_run;
  std::vector<Effect> effects;
  reducer.Reduce(kSecond, adopted, &effects);
  AttemptId attempt{};
  for (const Effect& e : effects) {
    if (const auto* resume = std::get_if<ResumeAttempt>(&e))
      attempt = resume->attempt;
  }
  effects.clear();
  reducer.Reduce(kSecond + 1, AttemptEnded{attempt, outcome, "ran", {}}, &effects);
  CHECK(reducer.Quiet());
  for (const Effect& e : effects) {
    if (const auto* answer = std::get_if<Answer>(&e))
      return answer->answer;
  }
  FAIL("no answer");
  return Failure{};
}

TEST_CASE("an adopted job is answered once, and refused only where its class allows that") {
  using dispatch::Repeat;
  for (const Repeat repeat : {Repeat::kRepeatable, Repeat::kKeyed, Repeat::kUnsafe}) {
    const bool unsafe = repeat == Repeat::kUnsafe;
    CHECK(std::holds_alternative<Served>(AnswerToAdopted(repeat, Outcome::kServed)));
    CHECK(std::holds_alternative<Failure>(AnswerToAdopted(repeat, Outcome::kLost)) == unsafe);
    CHECK(std::holds_alternative<Rejection>(AnswerToAdopted(repeat, Outcome::kFull)));
    CHECK(std::holds_alternative<Failure>(AnswerToAdopted(repeat, Outcome::kFull, true)) == unsafe);
  }
}

// ---- Two started daemons ----

// A worker whose jobs run until they are let go.
class SlowWorker {
 public:
  SlowWorker()
      : server_(0, tools::JobRunningHandler(
                       [this](const std::string& id, const std::string&) { return Run(id); })) {}
  ~SlowWorker() { LetGo(); }
  std::uint16_t port() const { return server_.port(); }
  void LetGo() {
    const std::lock_guard lock(mutex_);
    held_ = false;
    changed_.notify_all();
  }
  void AwaitRun(const std::string& id) {
    std::unique_lock lock(mutex_);
    REQUIRE(changed_.wait_for(lock, std::chrono::seconds(15), [&] { return runs_.contains(id); }));
  }

 private:
  tools::JobOutcome Run(const std::string& id) {
    std::unique_lock lock(mutex_);
    runs_.insert(id);
    changed_.notify_all();
    changed_.wait(lock, [this] { return !held_; });
    return tools::JobOutcome::kDone;
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  bool held_ = true;
  std::set<std::string> runs_;
  tools::HttpServer server_;
};

// One dispatcher's endpoint, on which processes follow one another.
class Dispatcher {
 public:
  Dispatcher() : reserved_(Reserve()) {
    setenv("TMPDIR", folder_.path.c_str(), 1);
    config = ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    config["listen"] = "127.0.0.1:" + std::to_string(port());
    config["mgmt"] = "127.0.0.1:0";
    config["known"]["servers"] = {{{"id", "s-1"},
                                   {"addr", "127.0.0.1:" + std::to_string(worker.port())},
                                   {"zone", "quilicura"},
                                   {"state", "SERVING"}}};
    for (auto& tenant : config["settings"]["tenants"])
      tenant["quotaPerS"] = 1000.0;
  }
  ~Dispatcher() { unsetenv("TMPDIR"); }
  std::unique_ptr<DaemonUnderTest> Start() const {
    auto daemon = std::make_unique<DaemonUnderTest>(config, nlohmann::json::object());
    REQUIRE(daemon->ports().contains("mgmt"));
    return daemon;
  }
  std::uint16_t port() const { return tools::PortOf(reserved_); }
  static std::string Call(const DaemonUnderTest& daemon, const std::string& line) {
    tools::Wire wire(tools::ConnectTo(daemon.ports().at("mgmt")));
    wire.Write(line + "\n");
    std::string answer;
    try {
      while (true)
        answer += wire.ReadLine() + "\n";
    } catch (const std::exception&) {  // its end
    }
    return answer;
  }
  static void Await(const DaemonUnderTest& daemon, const std::string& line, const std::string& text) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (Call(daemon, line).find(text) == std::string::npos)
      REQUIRE(std::chrono::steady_clock::now() < end);
  }
  std::string Post(const std::string& id, int deadline_ms = 20'000) const {
    tools::Wire wire(tools::ConnectTo(port()));
    return tools::Post(&wire, "promesa", id, "hogar-del-sur", deadline_ms, "x").start;
  }

  SlowWorker worker;
  nlohmann::json config;

 private:
  // Takes a port that others of this user may share, and that nobody else is given meanwhile.
  static Socket Reserve() {
    Socket s(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(s.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(s.fd(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    const sockaddr_in address = tools::Loopback(0);
    REQUIRE(bind(s.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    return s;
  }
  const Folder folder_;
  const Socket reserved_;
};

constexpr const char* kServed = "HTTP/1.1 200 OK";

TEST_CASE("a job in hand at an upgrade is answered by the next process, on the connection it came on") {
  Dispatcher dispatcher;
  const auto old = dispatcher.Start();
  tools::Wire client(tools::ConnectTo(dispatcher.port()));
  std::thread posts([&] {
    CHECK(tools::Post(&client, "cobro", "r1", "hogar-del-sur", 20'000, "x").body == "ran r1");
    // The connection goes on, with the process that has it now.
    CHECK(tools::Post(&client, "promesa", "r2", "hogar-del-sur", 20'000, "x").start == kServed);
  });
  dispatcher.worker.AwaitRun("r1");
  const auto next = dispatcher.Start();
  Dispatcher::Await(*next, "HEALTH", "OK");
  old->Signal(SIGTERM);
  CHECK(old->Wait() == 0);  // before the job is done
  CHECK(old->log().find("jobs_transferred count=1") != std::string::npos);
  dispatcher.worker.LetGo();
  posts.join();
  CHECK(Dispatcher::Call(*next, "DUMP").find("app.success.cobro:1|c") != std::string::npos);
}

TEST_CASE("no newcomer is refused or reset while one process follows another") {
  Dispatcher dispatcher;
  dispatcher.worker.LetGo();
  auto current = dispatcher.Start();
  int number = 0;
  for (int upgrades = 0; upgrades < 4; ++upgrades) {
    CAPTURE(upgrades);
    auto next = dispatcher.Start();
    Dispatcher::Await(*next, "HEALTH", "OK");
    current->Signal(SIGTERM);
    for (std::optional<int> ended; !ended; ended = current->Ended())
      REQUIRE(dispatcher.Post("r" + std::to_string(++number)) == kServed);
    current = std::move(next);
  }
  CHECK(number > 100);
}

TEST_CASE("a process that cannot start leaves the running one serving") {
  Dispatcher dispatcher;
  dispatcher.worker.LetGo();
  const auto running = dispatcher.Start();
  nlohmann::json bad = dispatcher.config;
  bad["settings"]["grades"] = nlohmann::json::array();
  DaemonUnderTest failing(bad, nlohmann::json::object());
  CHECK(failing.Wait() == 1);
  CHECK(dispatcher.Post("r1") == kServed);
}

TEST_CASE("a ban binds both processes, and the next after its predecessor's end, until it is taken back") {
  Dispatcher dispatcher;
  dispatcher.worker.LetGo();
  const auto old = dispatcher.Start();
  CHECK(Dispatcher::Call(*old, "OFFLINE s-1").starts_with("OK"));
  const auto next = dispatcher.Start();
  Dispatcher::Await(*next, "DUMP", "app.hosts_down:1|g");
  CHECK(Dispatcher::Call(*next, "ONLINE s-1").starts_with("OK"));
  Dispatcher::Await(*old, "DUMP", "app.hosts_down:0|g");
  CHECK(Dispatcher::Call(*old, "OFFLINE s-1").starts_with("OK"));
  Dispatcher::Await(*next, "DUMP", "app.hosts_down:1|g");
  old->Signal(SIGKILL);
  CHECK(old->Wait() == -SIGKILL);
  CHECK(dispatcher.Post("r1", 2'000) == "HTTP/1.1 503 Service Unavailable");
  CHECK(Dispatcher::Call(*next, "ONLINE s-1").starts_with("OK"));
  CHECK(dispatcher.Post("r2") == kServed);
}

}  // namespace
}  // namespace aldersill::tests
