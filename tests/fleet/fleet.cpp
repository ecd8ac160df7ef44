#include "fleet/fleet.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>

#include "daemon/daemon_under_test.h"
#include "fleet/datagrams.h"
#include "fleet/discovery.h"
#include "fleet/question.h"
#include "fleet/relay.h"
#include "net/event_loop.h"

namespace aldersill::fleet {
namespace {

using What = Seen::What;

constexpr Micros kClientPatience = 60 * kSecond;
constexpr int kLeastDeadlineMs = 400, kMostDeadlineMs = 3'000;
constexpr Micros kAnswerSlack = 58 * kMillisecond;
constexpr int kResetEveryMs = 20;
constexpr Micros kLookEvery = 10 * kMillisecond;
constexpr Micros kLateLook = 20 * kMillisecond;  // of a look round: by more, and the rig itself stood still
constexpr Micros kAskEvery = 100 * kMillisecond;
constexpr Micros kAgreeWithin = 30 * kSecond;
constexpr Micros kIdleAgain = 50 * kMillisecond;
constexpr std::size_t kFlood = 256 * 1024;
constexpr int kRestMs = 200;

std::int64_t UnixMs() {
  using std::chrono::duration_cast, std::chrono::milliseconds, std::chrono::system_clock;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

class Play_ {
 public:
  Play_(const Timetable& table, const Deployment& deployment, const std::string& program)
      : table_(table),
        deployment_(deployment),
        program_(program),
        jobs_(table.seed, 2),
        work_(table.seed, 3) {
    base_.reset(event_base_new());
    watchdog_ = std::make_unique<Timer>(base_.get(), [this] { LookAround(); });
  }

  Run Go() {
    const Micros began = SteadyNow();
    for (int w = 0; w < table_.workers; ++w)
      AddWorker(w);
    for (int d = 0; d < table_.dispatchers; ++d) {
      auto& links = links_.emplace_back();
      for (int w = 0; w < table_.workers; ++w)
        links.push_back(MakeLink(d, w));
      daemons_.emplace_back();
      discoveries_.emplace_back().push_back(MakeDiscovery(d, ListFor(d), 1));
    }
    if (table_.members)
      MakeMembers();
    for (int d = 0; d < table_.dispatchers; ++d)
      StartDaemon(d);
    for (const Fault& fault : table_.faults)
      At(fault.at_ms, [this, fault] { Do(fault); });
    for (int i = 0; i < table_.requests; ++i)
      At(i * table_.length_ms / table_.requests, [this, i] { Ask(i); });
    LookAgain();
    event_base_dispatch(base_.get());
    for (const Daemon& daemon : daemons_) {
      if (daemon.restarted != 0)
        See(What::kRestarted, "");
    }
    See(What::kEnd, "");
    for (auto& daemon : daemons_)
      daemon.process.reset();
    if (datagrams_ != nullptr)
      run_.datagrams = datagrams_->carried() + datagrams_->dropped();
    if (!folder_.empty()) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
    run_.seconds = static_cast<double>(SteadyNow() - began) / kSecond;
    return std::move(run_);
  }

 private:
  enum class State { kUp, kPaused, kEnding, kDown };
  struct Daemon {
    std::unique_ptr<tests::DaemonUnderTest> process;
    nlohmann::json config, own;
    std::unique_ptr<Question> duties, members;  // asked, and not yet answered
    bool knows_all = false;                     // by its last answer
    bool holds = false;
    int owned = 0, probed = 0;  // workers that it probes, that all of them probe
    Play_* play = nullptr;
    EventPtr<evhttp_connection> ready;  // asks whether it is
    bool asking = false;
    Micros restarted = 0;  // and not ready yet
    State state = State::kDown;
  };
  struct Worker {
    EventPtr<evhttp> http;
    std::uint16_t port = 0;
    Play_* play = nullptr;
    int number = 0;
    Micros hangs_until = 0;
    int busy = 0;
  };
  struct Job {  // at a worker
    evhttp_request* request = nullptr;
    std::unique_ptr<Timer> half, done;
  };
  struct Client {
    Play_* play = nullptr;
    std::string id;
    EventPtr<evhttp_connection> before, connection;
    int dispatcher = -1;
    const JobClass* job_class = nullptr;
    std::string tenant;
    int deadline_ms = 0;
    bool rests = false;  // on a connection that has been answered on
    bool over = false;
  };
  struct IdleClient {
    Play_* play = nullptr;
    int dispatcher = -1;
    bool half = false;  // sends half a head
    Micros until = 0;
    EventPtr<bufferevent> stream;
    std::unique_ptr<Timer> again;
  };

  // Stands still while the rig does: what it sees late would look late.
  Micros Now() const {
    const Micros now = SteadyNow();
    return now - lost_ - std::max<Micros>(0, now - look_due_ - kLateLook);
  }

  Seen& See(What what, const std::string& request, const std::string& job_class = "", int dispatcher = -1,
            std::uint64_t attempt = 0, int status = 0, std::string text = "") {
    return run_.seen.emplace_back(
        Seen{what, request, job_class, dispatcher, attempt, status, std::move(text), -1, Now(), 0});
  }

  void At(int ms, std::function<void()> what) {
    timers_.push_back(std::make_unique<Timer>(base_.get(), std::move(what)));
    timers_.back()->Set(ms * kMillisecond);
  }

  // After so many turns of the loop, in each of which what is due on every socket is done.
  void After(int turns, std::function<void()> what) {
    At(0, [this, turns, what = std::move(what)] { turns > 1 ? After(turns - 1, what) : what(); });
  }

  // ---- Workers ----

  void AddWorker(int number) {
    auto& worker = workers_.emplace_back(std::make_unique<Worker>());
    worker->play = this;
    worker->number = number;
    worker->http.reset(evhttp_new(base_.get()));
    auto* socket = evhttp_bind_socket_with_handle(worker->http.get(), "127.0.0.1", 0);
    if (socket == nullptr)
      throw std::runtime_error("a worker cannot listen");
    worker->port = static_cast<std::uint16_t>(PortOf(evhttp_bound_socket_get_fd(socket)));
    evhttp_set_gencb(worker->http.get(), &Play_::OnWork, worker.get());
  }

  static void OnWork(evhttp_request* request, void* arg) {
    auto* worker = static_cast<Worker*>(arg);
    worker->play->Work(worker->number, request);
  }

  void Work(int worker, evhttp_request* request) {
    const auto* headers = evhttp_request_get_input_headers(request);
    const char* id = evhttp_find_header(headers, "Req-Id");
    const char* job_class = evhttp_find_header(headers, "Req-Kind");
    Worker& at = *workers_[worker];
    if (id == nullptr || job_class == nullptr) {  // a probe
      EventPtr<evbuffer> body(evbuffer_new());
      const std::string report = Report(at).dump();
      evbuffer_add(body.get(), report.data(), report.size());
      evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
      return evhttp_send_reply(request, 200, "OK", body.get());
    }
    See(What::kRan, id, job_class).worker = worker;
    const std::string result =
        std::string(id) + " at " + std::to_string(worker) + " run " + std::to_string(++runs_);
    // One in ten fails, so that there is something to try again without any fault.
    const bool fails = work_(10) == 0;
    const auto c = std::ranges::find(deployment_.classes, std::string(job_class), &JobClass::name);
    if (c == deployment_.classes.end())
      throw std::runtime_error(std::string("a worker was sent class ") + job_class);
    const int ms = c->least_ms + static_cast<int>(work_(c->most_ms - c->least_ms));
    const int number = ++jobs_at_workers_;
    Job& job = at_work_[number];
    job.request = request;
    // Its connection may end before it does.
    evhttp_request_set_on_complete_cb(request, nullptr, nullptr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &Play_::OnWorkerConnectionEnd,
                                  new std::pair<Play_*, int>(this, number));
    if (SteadyNow() < at.hangs_until)
      return;
    ++at.busy;
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    evhttp_send_reply_start(request, 200, "OK");
    if (deployment_.notes) {
      Say(number, {{"id", id}, {"state", "started"}});
      job.half = std::make_unique<Timer>(base_.get(), [this, number, id = std::string(id)] {
        Say(number, {{"id", id}, {"state", "running"}, {"share", 0.5}});
      });
      job.half->Set(ms * kMillisecond / 2);
    }
    job.done = std::make_unique<Timer>(base_.get(), [this, number, &at, id = std::string(id), fails, result] {
      --at.busy;
      if (!fails)
        See(What::kResult, id, "", -1, 0, 0, result);
      nlohmann::json last = {{"id", id}, {"state", fails ? "failed" : "done"}, {"result", result}};
      if (!deployment_.pulled)
        last["load"] = Report(at);
      Say(number, last);
      if (evhttp_request* r = std::exchange(at_work_.at(number).request, nullptr))
        evhttp_send_reply_end(r);
    });
    job.done->Set(ms * kMillisecond);
  }

  nlohmann::json Report(const Worker& worker) const {
    const double slots = deployment_.slots, free = std::max(0.0, slots - worker.busy);
    return {{"svc_ms", 30.0}, {"cpu_share", 1.0 - free / slots}, {"x0", free}, {"x1", free}};
  }

  // A line of a job's answer, if its connection is still there.
  void Say(int number, const nlohmann::json& what) {
    evhttp_request* request = at_work_.at(number).request;
    if (request == nullptr)
      return;
    const std::string line = what.dump() + "\n";
    EventPtr<evbuffer> chunk(evbuffer_new());
    evbuffer_add(chunk.get(), line.data(), line.size());
    evhttp_send_reply_chunk(request, chunk.get());
  }

  static void OnWorkerConnectionEnd(evhttp_connection*, void* arg) {
    const std::unique_ptr<std::pair<Play_*, int>> of(static_cast<std::pair<Play_*, int>*>(arg));
    evhttp_request* request = std::exchange(of->first->at_work_.at(of->second).request, nullptr);
    FreeIfLeft(request);
  }

  // ---- Links ----

  std::unique_ptr<Relay> MakeLink(int dispatcher, int worker) {
    return std::make_unique<Relay>(
        base_.get(), workers_[worker]->port, &attempts_,
        Relay::Watcher{
            [this, dispatcher, worker](const std::string& id, std::uint64_t attempt, Micros opened) {
              NoteClosed();
              Seen& seen = See(What::kAttempt, id, "", dispatcher, attempt);
              seen.worker = worker;
              seen.at = std::min(seen.at, opened - lost_);
            },
            [this](const std::string& id, std::uint64_t attempt) {
              See(What::kAttemptEnd, id, "", -1, attempt);
            }});
  }

  void NoteClosed() {
    for (auto& links : links_) {
      for (auto& link : links)
        link->NoteClosed();
    }
  }

  // ---- Discovery ----

  nlohmann::json ListFor(int d) const {
    nlohmann::json list = nlohmann::json::array();
    for (int w = 0; w < table_.workers; ++w)
      list.push_back({{"id", "w" + std::to_string(w)},
                      {"addr", "127.0.0.1:" + std::to_string(links_[d][w]->port())},
                      {"zone", deployment_.config.at("settings").at("locality")},
                      {"cell", w % 2},
                      {"state", "SERVING"},
                      {"started_ms", 0}});
    return list;
  }

  std::unique_ptr<StandInDiscovery> MakeDiscovery(int d, nlohmann::json list, std::uint64_t version) {
    return std::make_unique<StandInDiscovery>(
        base_.get(), deployment_.pushed, std::move(list), version, [this, d](int worker, bool serving) {
          See(What::kTold, "", "", d, 0, serving ? 1 : 0).worker = worker;
        });
  }

  // What an agent has counts as told from the start of a dispatcher on, as soon as the agent speaks.
  void NoteAgents(int d) {
    if (!deployment_.pushed || down_ > 0)
      return;
    for (int w = 0; w < table_.workers; ++w) {
      const bool serving = discoveries_[d].back()->list().at(w).at("state") == "SERVING";
      See(What::kTold, "", "", d, 0, serving ? 1 : 0).worker = w;
    }
  }

  // A change of the list for all dispatchers; while discovery is down, once it is back.
  void Change(int worker, const std::string& state) {
    if (down_ > 0)
      return changes_.push_back({worker, state});
    See(What::kChanged, "", "", -1, 0, state == "SERVING" ? 1 : 0).worker = worker;
    for (auto& of_dispatcher : discoveries_) {
      for (auto& discovery : of_dispatcher)
        discovery->Change(worker, state, state == "SERVING" ? UnixMs() : 0);
    }
  }

  void SetDown(bool down) {
    down_ += down ? 1 : -1;
    if (down_ > 1 || (down && down_ == 0))
      return;
    for (auto& of_dispatcher : discoveries_)
      of_dispatcher.back()->Down(down_ > 0);
    for (int d = 0; d < table_.dispatchers; ++d) {
      See(What::kReachable, "", "", d, 0, down_ > 0 ? 0 : 1);
      NoteAgents(d);
    }
    while (down_ == 0 && !changes_.empty()) {
      const auto [worker, state] = changes_.front();
      changes_.pop_front();
      Change(worker, state);
    }
  }

  // ---- Those that know one another ----

  void MakeMembers() {
    std::string pattern = (std::filesystem::temp_directory_path() / "aldersill-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("mkdtemp");
    folder_ = pattern;
    std::ofstream(folder_ / "keys") << std::string(64, '5') << "\n";
    std::filesystem::permissions(folder_ / "keys", std::filesystem::perms::owner_read);
    datagrams_ = std::make_unique<DatagramLinks>(base_.get(), table_.dispatchers, table_.seed);
    ask_ = std::make_unique<Timer>(base_.get(), [this] { AskAll(); });
    ask_->Set(kAskEvery);
  }

  std::string Control(int d) const { return (folder_ / ("control" + std::to_string(d))).string(); }

  nlohmann::json MembersOwn(int d) const {
    const auto reached = [this](int i) { return "127.0.0.1:" + std::to_string(datagrams_->port(i)); };
    nlohmann::json voters = nlohmann::json::array();
    for (int i = 0; i < std::min(kVoters, table_.dispatchers); ++i)
      voters.push_back("d" + std::to_string(i));
    return {{"logging", kOwn.at("logging")},
            {"control", {{"socket", Control(d)}}},
            {"membership",
             {{"enabled", true},
              {"listen", "127.0.0.1:0"},
              {"advertise", reached(d)},
              {"key_file", (folder_ / "keys").string()},
              {"join", {reached(0), reached(1 % table_.dispatchers)}},
              {"probe_interval_ms", 200},
              {"probe_timeout_ms", 100},
              {"gossip_interval_ms", 40},
              {"compare_interval_ms", 500}}},
            {"duties",
             {{"probing", true},
              {"probes", {{"interval_ms", 500}, {"timeout_ms", 250}}},
              {"exclusive", {"housekeeping"}},
              {"voters", voters},
              {"lease_ms", 1'500}}}};
  }

  // Each that runs is asked what it holds and whom it knows, one question of each kind at a time.
  void AskAll() {
    ask_->Set(kAskEvery);
    for (int d = 0; d < table_.dispatchers; ++d) {
      Daemon& daemon = daemons_[d];
      if (daemon.process == nullptr)
        continue;
      if (daemon.duties == nullptr)
        daemon.duties = std::make_unique<Question>(
            base_.get(), Control(d), "duties",
            [this, d, asked = Now()](const std::string& answer) { HearDuties(d, asked, answer); });
      if (daemon.members == nullptr)
        daemon.members =
            std::make_unique<Question>(base_.get(), Control(d), "members",
                                       [this, d](const std::string& answer) { HearMembers(d, answer); });
    }
  }

  void HearDuties(int d, Micros asked, const std::string& answer) {
    const auto done = std::move(daemons_[d].duties);
    daemons_[d].holds = false;
    if (answer.empty())
      return;
    const nlohmann::json duties = nlohmann::json::parse(answer);
    daemons_[d].owned = duties.at("probing").at("owned");
    daemons_[d].probed = duties.at("probing").at("workers");
    const nlohmann::json& lease = duties.at("exclusive").at(0);
    daemons_[d].holds = lease.at("held");
    if (daemons_[d].holds)
      See(What::kHolds, "", "", d, lease.at("term")).until = asked;
  }

  void HearMembers(int d, const std::string& answer) {
    const auto done = std::move(daemons_[d].members);
    daemons_[d].knows_all = false;
    if (answer.empty())
      return;
    const nlohmann::json members = nlohmann::json::parse(answer).at("members");
    daemons_[d].knows_all =
        std::ssize(members) == table_.dispatchers &&
        std::ranges::all_of(members, [](const auto& m) { return m.at("state") == "alive"; });
  }

  bool Agreed() const {
    int owned = 0;
    for (const Daemon& d : daemons_)
      owned += d.owned;
    return std::ranges::all_of(daemons_,
                               [owned](const Daemon& d) { return d.knows_all && d.probed == owned; }) &&
           std::ranges::any_of(daemons_, [](const Daemon& d) { return d.holds; });
  }

  // ---- Dispatchers ----

  void StartDaemon(int d) {
    Daemon& daemon = daemons_[d];
    daemon.config = deployment_.config;
    daemon.config["name"] = "d" + std::to_string(d);
    daemon.config["discovery"] = "127.0.0.1:" + std::to_string(discoveries_[d].back()->port());
    daemon.config["settings"]["peersTotal"] = table_.dispatchers;
    // As it was in the beginning: what a machine remembers may be old. Where discovery has moved its versions
    // are others.
    if (discoveries_[d].size() == 1)
      daemon.config["known"] = {{"version", 1}, {"full", true}, {"servers", ListFor(d)}};
    daemon.own = table_.members ? MembersOwn(d) : kOwn;
    daemon.duties.reset();
    daemon.members.reset();
    daemon.knows_all = daemon.holds = false;
    daemon.owned = 0;
    daemon.restarted = daemon.play != nullptr ? SteadyNow() : 0;
    daemon.play = this;
    daemon.asking = false;
    daemon.process = std::make_unique<tests::DaemonUnderTest>(daemon.config, daemon.own, "ALDERSILL_SETTINGS",
                                                              " serving ", program_);
    if (!daemon.process->ports().contains("http"))
      throw std::runtime_error("a dispatcher did not start");
    if (table_.members)
      datagrams_->SetReal(d, daemon.process->ports().at("membership"));
    daemon.state = State::kUp;
    See(What::kStarted, "", "", d);
    NoteAgents(d);
  }

  // A question at a time, until the answer is yes.
  void AskReady(Daemon* daemon) {
    if (daemon->restarted == 0 || daemon->asking || daemon->process == nullptr)
      return;
    daemon->asking = true;
    daemon->ready.reset(
        evhttp_connection_base_new(base_.get(), nullptr, "127.0.0.1", daemon->process->ports().at("http")));
    evhttp_connection_set_timeout(daemon->ready.get(), 1);
    evhttp_request* request = evhttp_request_new(&Play_::OnReady, daemon);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "origin.svc");
    if (evhttp_make_request(daemon->ready.get(), request, EVHTTP_REQ_GET, "/-/ready") != 0)
      daemon->asking = false;
  }

  static void OnReady(evhttp_request* request, void* arg) {
    auto* daemon = static_cast<Daemon*>(arg);
    daemon->asking = false;
    if (request == nullptr || evhttp_request_get_response_code(request) != 200)
      return;
    const Micros after = SteadyNow() - std::exchange(daemon->restarted, 0);
    daemon->play->See(What::kRestarted, "").until = after;
  }

  void Connect(IdleClient* c) {
    c->stream.reset();
    if (SteadyNow() >= c->until)
      return;
    c->again->Set(kIdleAgain);
    if (daemons_[c->dispatcher].state != State::kUp)
      return;
    c->stream.reset(bufferevent_socket_new(base_.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    const sockaddr_in to = ToSockaddr({"127.0.0.1", daemons_[c->dispatcher].process->ports().at("http")});
    bufferevent_setcb(c->stream.get(), nullptr, nullptr, &Play_::OnIdleEvent, c);
    const std::string head = "POST / HTTP/1.1\r\nHost: ";
    if (c->half)
      bufferevent_write(c->stream.get(), head.data(), head.size());
    bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
    c->again->Set(c->until - SteadyNow());
    bufferevent_socket_connect(c->stream.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  static void OnIdleEvent(bufferevent*, short what, void* arg) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
      static_cast<IdleClient*>(arg)->again->Set(kIdleAgain);
  }

  void Do(Fault f) {
    // A long stop is there for whoever holds the duty.
    const auto holder = std::ranges::find_if(daemons_, [](const Daemon& d) { return d.holds; });
    if (f.kind == FaultKind::kPause && f.for_ms >= kLongerThanLease && holder != daemons_.end())
      f.dispatcher = static_cast<int>(holder - daemons_.begin());
    Daemon& daemon = daemons_[f.dispatcher];
    const auto later = [&](auto undo) { At(f.for_ms, undo); };
    // Done to the link or links at once, and undone after its time.
    const auto on_links = [&](auto change, auto undo) {
      for (int w = 0; w < table_.workers; ++w) {
        if (f.worker >= 0 && w != f.worker)
          continue;
        Relay* link = links_[f.dispatcher][w].get();
        change(link);
        later([link, undo] { undo(link); });
      }
    };
    const auto on_datagrams = [&](auto change, auto undo) {
      for (int d = 0; datagrams_ != nullptr && d < table_.dispatchers; ++d) {
        if (f.worker >= 0 && d != f.worker)
          continue;
        auto* trouble = &datagrams_->trouble(f.dispatcher, d);
        change(trouble);
        later([trouble, undo] { undo(trouble); });
      }
    };
    const bool on_process =
        f.kind <= FaultKind::kPause || f.kind == FaultKind::kMove || f.kind == FaultKind::kRestingRequests;
    if (on_process && daemon.state != State::kUp)
      return;  // it has its trouble already
    ++run_.carried_out;
    switch (f.kind) {
      case FaultKind::kKill:
        See(What::kExcused, "", "", f.dispatcher);
        daemon.state = State::kDown;
        daemon.process.reset();
        later([this, d = f.dispatcher] { StartDaemon(d); });
        break;
      case FaultKind::kTerminate:
        daemon.state = State::kEnding;
        // What clients have begun to ask must be on the wire first, however slow this machine is: what has
        // not come by then is not owed an answer.
        After(10, [&daemon] { daemon.process->Signal(SIGTERM); });
        break;
      case FaultKind::kPause:
        daemon.state = State::kPaused;
        daemon.process->Stop();
        later([this, &daemon, d = f.dispatcher] {
          daemon.process->Signal(SIGCONT);
          daemon.state = State::kUp;
          See(What::kResumed, "", "", d);
        });
        break;
      case FaultKind::kCutThere:
        on_links([](Relay* r) { r->CutThere(true); }, [](Relay* r) { r->CutThere(false); });
        break;
      case FaultKind::kCutBack:
        on_links([](Relay* r) { r->CutBack(true); }, [](Relay* r) { r->CutBack(false); });
        break;
      case FaultKind::kDelay:
        on_links([&](Relay* r) { r->Delay(f.amount * kMillisecond); }, [](Relay* r) { r->Delay(0); });
        break;
      case FaultKind::kTrickle:
        on_links([&](Relay* r) { r->Trickle(std::max(1, f.amount)); }, [](Relay* r) { r->Trickle(0); });
        break;
      case FaultKind::kReset:
        for (int ms = 0; ms <= f.for_ms; ms += kResetEveryMs)
          At(ms, [this, f] {
            for (int w = 0; w < table_.workers; ++w) {
              if (f.worker < 0 || w == f.worker)
                links_[f.dispatcher][w]->Reset();
            }
          });
        break;
      case FaultKind::kHang:
        workers_[f.worker]->hangs_until = SteadyNow() + f.for_ms * kMillisecond;
        break;
      case FaultKind::kDrain:
        if (!draining_.insert(f.worker).second)
          return;
        Change(f.worker, "DRAINING");
        At(f.for_ms / 2, [this, w = f.worker] { Change(w, "DELETED"); });
        later([this, w = f.worker] {
          Change(w, "SERVING");
          draining_.erase(w);
        });
        break;
      case FaultKind::kSilence:
        discoveries_[f.dispatcher].back()->Silence();
        break;
      case FaultKind::kMove: {
        auto& of_dispatcher = discoveries_[f.dispatcher];
        StandInDiscovery* left = of_dispatcher.back().get();
        of_dispatcher.push_back(MakeDiscovery(f.dispatcher, left->list(), 1'000 * of_dispatcher.size()));
        if (down_ == 0)
          See(What::kReachable, "", "", f.dispatcher, 0, 1);
        if (down_ > 0)
          of_dispatcher.back()->Down(true);
        daemon.config["discovery"] = "127.0.0.1:" + std::to_string(of_dispatcher.back()->port());
        daemon.process->Write(daemon.config.dump(), daemon.own);
        daemon.process->Signal(SIGHUP);
        later([left] { left->Down(true); });
        break;
      }
      case FaultKind::kListErrors:
      case FaultKind::kListLosses:
      case FaultKind::kListRefused: {
        if (deployment_.pushed)
          return;  // an agent's calls do not fail
        using Trouble = StandInDiscovery::Trouble;
        StandInDiscovery* discovery = discoveries_[f.dispatcher].back().get();
        const bool refused = f.kind == FaultKind::kListRefused;
        if (refused)
          See(What::kReachable, "", "", f.dispatcher, 0, 0);
        discovery->Fail(refused                            ? Trouble::kRefused
                        : f.kind == FaultKind::kListErrors ? Trouble::kErrors
                                                           : Trouble::kLosses);
        later([this, discovery, d = f.dispatcher] {
          discovery->Fail(Trouble::kNone);
          if (down_ == 0)
            See(What::kReachable, "", "", d, 0, 1);
        });
        break;
      }
      case FaultKind::kLate:
        on_links([](Relay* r) { r->Late(true); }, [](Relay* r) { r->Late(false); });
        break;
      case FaultKind::kLeave:
        for (const auto& client : clients_) {
          if (client->dispatcher == f.dispatcher)
            Leave(client.get(), f.amount);
        }
        break;
      case FaultKind::kRestingRequests:
        CrossTheClose(f);
        break;
      case FaultKind::kIdleClients:
        for (int i = 0; i < f.amount; ++i) {
          auto& c = idle_.emplace_back(std::make_unique<IdleClient>());
          c->play = this;
          c->dispatcher = f.dispatcher;
          c->half = i % 2 == 1;
          c->until = SteadyNow() + f.for_ms * kMillisecond;
          c->again = std::make_unique<Timer>(base_.get(), [this, c = c.get()] { Connect(c); });
          Connect(c.get());
        }
        break;
      case FaultKind::kUdpCut:
        on_datagrams([](auto* t) { t->cut = true; }, [](auto* t) { t->cut = false; });
        break;
      case FaultKind::kUdpThin:
        on_datagrams([&](auto* t) { t->lost_percent = f.amount; }, [](auto* t) { t->lost_percent = 0; });
        break;
      case FaultKind::kUdpDelay:
        on_datagrams([&](auto* t) { t->delay = f.amount * kMillisecond; }, [](auto* t) { t->delay = 0; });
        break;
      case FaultKind::kUdpReorder:
        on_datagrams([&](auto* t) { t->jitter = f.amount * kMillisecond; }, [](auto* t) { t->jitter = 0; });
        break;
      case FaultKind::kUdpStray:
        for (int i = 0; i < f.amount; ++i)
          At(i * f.for_ms / f.amount, [this, f, i] {
            if (datagrams_ != nullptr)
              datagrams_->Stray(f.dispatcher, f.worker >= 0 ? f.worker : i % table_.dispatchers);
          });
        break;
      case FaultKind::kUdpDouble:
        on_datagrams([&](auto* t) { t->doubled_percent = f.amount; },
                     [](auto* t) { t->doubled_percent = 0; });
        break;
      case FaultKind::kDown:
        SetDown(true);
        later([this] { SetDown(false); });
        break;
    }
  }

  // ---- Service clients ----

  void Ask(int number) {
    // Drawn in any case, so that a fault does not reshuffle what follows.
    const JobClass& job_class =
        deployment_.classes[jobs_(static_cast<std::uint32_t>(deployment_.classes.size()))];
    const std::string& tenant =
        deployment_.tenants[jobs_(static_cast<std::uint32_t>(deployment_.tenants.size()))];
    const int deadline_ms = kLeastDeadlineMs + static_cast<int>(jobs_(kMostDeadlineMs - kLeastDeadlineMs));
    const bool leaves = jobs_(12) == 0;
    const int leaves_ms = static_cast<int>(jobs_(static_cast<std::uint32_t>(deadline_ms)));
    const std::uint32_t draw = jobs_();
    std::vector<int> up;
    for (int d = 0; d < table_.dispatchers; ++d) {
      if (daemons_[d].state == State::kUp)
        up.push_back(d);
    }
    if (up.empty())
      return;
    const int d = up[draw % up.size()];
    Client* client = AddClient(job_class, tenant, deadline_ms, number, d);
    ++waiting_;
    if (leaves)
      At(leaves_ms, [this, client] { Leave(client, 0); });
    Post(client);
  }

  Client* AddClient(const JobClass& job_class, const std::string& tenant, int deadline_ms, int number,
                    int d) {
    Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
    client->play = this;
    client->id = job_class.name + "-" + std::to_string(number);
    client->job_class = &job_class;
    client->tenant = tenant;
    client->deadline_ms = deadline_ms;
    Connect(client, d);
    return client;
  }

  void Connect(Client* client, int d) {
    client->dispatcher = d;
    // The one before may be in its callback still.
    client->before = std::move(client->connection);
    client->connection.reset(evhttp_connection_base_new(base_.get(), nullptr, "127.0.0.1",
                                                        daemons_[d].process->ports().at("http")));
    evhttp_connection_set_retries(client->connection.get(), 0);
    evhttp_connection_set_timeout(client->connection.get(), static_cast<int>(kClientPatience / kSecond));
  }

  void Post(Client* client) {
    const JobClass& job_class = *client->job_class;
    evhttp_request* request = evhttp_request_new(&Play_::OnAnswer, client);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "origin.svc");
    evhttp_add_header(headers, "Req-Id", client->id.c_str());
    evhttp_add_header(headers, "Req-Kind", job_class.name.c_str());
    evhttp_add_header(headers, "Req-Owner", client->tenant.c_str());
    evhttp_add_header(headers, "Req-Deadline", (std::to_string(client->deadline_ms) + "m").c_str());
    if (job_class.keyed)
      evhttp_add_header(headers, "Idempotency-Key", client->id.c_str());
    if (deployment_.figures) {
      evhttp_add_header(headers, "Req-Cost",
                        std::to_string((job_class.least_ms + job_class.most_ms) * 500).c_str());
      evhttp_add_header(headers, "Req-Extra", "slots=1,memory=0.6");
    }
    evhttp_add_header(headers, "Connection", "close");
    See(What::kAsked, client->id, job_class.name, client->dispatcher).until =
        Now() + client->deadline_ms * kMillisecond + kAnswerSlack;
    const std::string path = "/" + job_class.name;
    if (evhttp_make_request(client->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0)
      Over(client);
  }

  // Clients whose connections rest, and which send in the moment of SIGTERM and after.
  void CrossTheClose(const Fault& f) {
    std::vector<Client*> resting;
    for (int i = 0; i < f.amount; ++i) {
      Client* c = AddClient(deployment_.classes[i % deployment_.classes.size()],
                            deployment_.tenants[i % deployment_.tenants.size()], kMostDeadlineMs,
                            table_.requests + ++resting_, f.dispatcher);
      c->rests = true;
      resting.push_back(c);
      evhttp_request* request = evhttp_request_new([](evhttp_request*, void*) {}, nullptr);
      evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "origin.svc");
      evhttp_make_request(c->connection.get(), request, EVHTTP_REQ_GET, "/-/ready");
    }
    At(kRestMs, [this, f, resting] {
      Daemon& daemon = daemons_[f.dispatcher];
      if (daemon.state != State::kUp)
        return;  // it has its trouble already
      daemon.state = State::kEnding;
      After(10, [this, &daemon, f, resting] {
        const auto send = [this](Client* c) {
          ++waiting_;
          Post(c);
        };
        for (std::size_t i = 0; i < resting.size(); ++i) {
          if (i == resting.size() / 2)
            daemon.process->Signal(SIGTERM);
          if (i % 4 != 3) {
            send(resting[i]);
          } else {
            At(static_cast<int>(i) * f.for_ms / f.amount, [send, c = resting[i]] { send(c); });
          }
        }
      });
    });
  }

  // It got no byte of an answer on a connection that had rested: once more, elsewhere.
  bool AskElsewhere(Client* client) {
    if (!std::exchange(client->rests, false))
      return false;
    const int from = client->dispatcher;
    See(What::kCrossed, client->id, "", from);
    for (int i = 1; i < table_.dispatchers; ++i) {
      const int d = (from + i) % table_.dispatchers;
      if (daemons_[d].state != State::kUp)
        continue;
      ++run_.crossed;
      Connect(client, d);
      Post(client);
      return true;
    }
    return false;
  }

  static void OnAnswer(evhttp_request* request, void* arg) {
    auto* client = static_cast<Client*>(arg);
    if (client->over)
      return;
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) {
      if (!client->play->AskElsewhere(client))
        client->play->Over(client);
      return;
    }
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, text.data(), text.size());
    client->over = true;
    --client->play->waiting_;
    client->play->last_answer_ = SteadyNow();
    client->play->See(What::kAnswered, client->id, "", -1, 0, status, std::move(text));
  }

  void Over(Client* client) {
    if (std::exchange(client->over, true))
      return;
    --waiting_;
    See(What::kBroken, client->id);
  }

  // `how`: 0 closes, 1 resets; 2 and 3 send much before that.
  void Leave(Client* client, int how) {
    if (std::exchange(client->over, true))
      return;
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(client->connection.get()));
    if (how >= 2) {
      const std::string much(kFlood, 'x');
      // As much as the kernel takes.
      const auto taken = send(fd, much.data(), much.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      run_.flooded += taken > 0;
    }
    const linger at_once{1, 0};
    if (how % 2 == 1)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    --waiting_;
    last_answer_ = SteadyNow();
    See(What::kLeft, client->id);
    client->connection.reset();
  }

  void LookAgain() {
    watchdog_->Set(kLookEvery);
    look_due_ = SteadyNow() + kLookEvery;
  }

  // Sees to dispatchers that have ended, and ends the run once nothing is waited for.
  void LookAround() {
    lost_ += std::max<Micros>(0, SteadyNow() - look_due_ - kLateLook);
    look_due_ = SteadyNow();
    NoteClosed();
    for (int d = 0; d < table_.dispatchers; ++d) {
      Daemon& daemon = daemons_[d];
      if (daemon.process == nullptr)
        continue;
      AskReady(&daemon);
      const std::optional<int> end = daemon.process->Ended();
      if (!end)
        continue;
      if (daemon.state != State::kEnding || *end != 0)
        ++run_.bad_ends;
      daemon.process.reset();
      StartDaemon(d);
    }
    const bool asked = SteadyNow() - started_ >= (table_.length_ms + 100) * kMillisecond;
    const bool settled = std::ranges::all_of(daemons_, [](const Daemon& d) { return d.state == State::kUp; });
    const bool stopped = std::ranges::none_of(links_, [](const auto& links) {
      return std::ranges::any_of(links, [](const auto& link) { return link->HasOpen(); });
    });
    const bool overdue = SteadyNow() - last_answer_ > 2 * deployment_.rules.slack;
    const bool ready = std::ranges::all_of(daemons_, [this](const Daemon& d) {
      return d.restarted == 0 ||
             SteadyNow() - d.restarted > deployment_.rules.ready_within + deployment_.rules.slack;
    });
    const bool over = asked && settled && ready && waiting_ == 0 && (stopped || overdue);
    if (over && over_since_ == 0)
      over_since_ = Now();
    if (over)
      run_.agreed = !table_.members || Agreed();
    if (over && (run_.agreed || Now() - over_since_ > kAgreeWithin)) {
      event_base_loopbreak(base_.get());
      return;
    }
    LookAgain();
  }

  // The log's pipe is not read while the rig runs.
  const nlohmann::json kOwn = {{"logging", {{"lines_per_second", 1}}}};
  const Timetable table_;
  const Deployment deployment_;
  const std::string program_;
  pcg32 jobs_, work_;
  EventPtr<event_base> base_;
  Run run_;
  std::uint64_t attempts_ = 0;
  int runs_ = 0, jobs_at_workers_ = 0, waiting_ = 0, resting_ = 0;
  std::map<int, Job> at_work_;  // before the workers, whose end is told to it
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::vector<std::unique_ptr<Relay>>> links_;
  std::vector<Daemon> daemons_;
  std::vector<std::vector<std::unique_ptr<StandInDiscovery>>>
      discoveries_;                                  // of each dispatcher; the last is where it is now
  int down_ = 0;                                     // faults that keep discovery down
  std::deque<std::pair<int, std::string>> changes_;  // that wait for its return
  std::set<int> draining_;
  std::filesystem::path folder_;  // of keys and control sockets
  std::unique_ptr<DatagramLinks> datagrams_;
  std::unique_ptr<Timer> ask_;
  Micros over_since_ = 0;
  Micros look_due_ = SteadyNow(), lost_ = 0, last_answer_ = 0;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<IdleClient>> idle_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::unique_ptr<Timer> watchdog_;
  const Micros started_ = SteadyNow();
};

}  // namespace

Run Play(const Timetable& table, const Deployment& deployment, const std::string& program) {
  return Play_(table, deployment, program).Go();
}

}  // namespace aldersill::fleet
