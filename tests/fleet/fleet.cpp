#include "fleet/fleet.h"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>

#include "daemon/daemon_under_test.h"
#include "fleet/relay.h"
#include "net/event_loop.h"

namespace aldersill::fleet {
namespace {

using What = Seen::What;

constexpr Micros kClientPatience = 60 * kSecond;
constexpr int kDeadlineMs = 3'000;
constexpr int kResetEveryMs = 20;

struct JobClass {
  const char* name;
  int least_ms, most_ms;  // of running
};
constexpr JobClass kClasses[] = {{"certificado", 5, 60}, {"promesa", 2, 40}, {"cobro", 20, 200}};

class Play_ {
 public:
  Play_(const Timetable& table, const std::string& program)
      : table_(table), program_(program), jobs_(table.seed, 2), work_(table.seed, 3) {
    base_.reset(event_base_new());
    watchdog_ = std::make_unique<Timer>(base_.get(), [this] { LookAround(); });
  }

  Run Go() {
    const Micros began = SteadyNow();
    for (int w = 0; w < table_.workers; ++w) AddWorker(w);
    for (int d = 0; d < table_.dispatchers; ++d) {
      auto& links = links_.emplace_back();
      for (int w = 0; w < table_.workers; ++w) links.push_back(MakeLink(w));
      daemons_.emplace_back();
    }
    for (int d = 0; d < table_.dispatchers; ++d) StartDaemon(d);
    for (const Fault& fault : table_.faults) At(fault.at_ms, [this, fault] { Do(fault); });
    for (int i = 0; i < table_.requests; ++i) At(i * table_.length_ms / table_.requests, [this, i] { Ask(i); });
    watchdog_->Set(10 * kMillisecond);
    event_base_dispatch(base_.get());
    for (auto& daemon : daemons_) daemon.process.reset();
    run_.seconds = static_cast<double>(SteadyNow() - began) / kSecond;
    return std::move(run_);
  }

 private:
  enum class State { kUp, kPaused, kEnding, kDown };
  struct Daemon {
    std::unique_ptr<tests::DaemonUnderTest> process;
    State state = State::kDown;
  };
  struct Worker {
    EventPtr<evhttp> http;
    std::uint16_t port = 0;
    Play_* play = nullptr;
    int number = 0;
  };
  struct Job {  // at a worker
    evhttp_request* request = nullptr;
    std::unique_ptr<Timer> done;
  };
  struct Client {
    Play_* play = nullptr;
    std::string id;
    EventPtr<evhttp_connection> connection;
    bool over = false;
  };

  void See(What what, const std::string& request, const std::string& klass = "", int dispatcher = -1,
           std::uint64_t attempt = 0, int status = 0, std::string text = "") {
    run_.seen.push_back({what, request, klass, dispatcher, attempt, status, std::move(text)});
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
    if (socket == nullptr) throw std::runtime_error("a worker cannot listen");
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
    const char* klass = evhttp_find_header(headers, "Req-Kind");
    if (id == nullptr || klass == nullptr) {  // a probe
      evhttp_send_reply(request, 200, "OK", nullptr);
      return;
    }
    See(What::kRan, id, klass);
    const std::string result = std::string(id) + " at " + std::to_string(worker) + " run " + std::to_string(++runs_);
    // One in ten fails, so that there is something to try again without any fault.
    const bool fails = work_(10) == 0;
    const auto* c = std::ranges::find(kClasses, std::string(klass), [](const JobClass& k) { return std::string(k.name); });
    const int ms = c->least_ms + static_cast<int>(work_(c->most_ms - c->least_ms));
    const int number = ++jobs_at_workers_;
    Job& job = at_work_[number];
    job.request = request;
    // Its connection may end before it does: evhttp frees the request then.
    evhttp_request_set_on_complete_cb(request, nullptr, nullptr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &Play_::OnWorkerConnectionEnd,
                                  new std::pair<Play_*, int>(this, number));
    job.done = std::make_unique<Timer>(base_.get(), [this, number, id = std::string(id), fails, result] {
      evhttp_request* r = at_work_.at(number).request;
      at_work_.at(number).request = nullptr;
      if (!fails) See(What::kResult, id, "", -1, 0, 0, result);
      if (r == nullptr) return;
      const std::string line =
          nlohmann::json{{"id", id}, {"state", fails ? "failed" : "done"}, {"result", result}}.dump() + "\n";
      EventPtr<evbuffer> body(evbuffer_new());
      evbuffer_add(body.get(), line.data(), line.size());
      evhttp_add_header(evhttp_request_get_output_headers(r), "Connection", "close");
      evhttp_send_reply(r, 200, "OK", body.get());
    });
    job.done->Set(ms * kMillisecond);
  }

  static void OnWorkerConnectionEnd(evhttp_connection*, void* arg) {
    const std::unique_ptr<std::pair<Play_*, int>> of(static_cast<std::pair<Play_*, int>*>(arg));
    of->first->at_work_.at(of->second).request = nullptr;
  }

  // ---- Links ----

  std::unique_ptr<Relay> MakeLink(int worker) {
    return std::make_unique<Relay>(
        base_.get(), workers_[worker]->port, &attempts_,
        Relay::Watcher{[this](const std::string& id, std::uint64_t attempt) {
                         for (auto& links : links_) {
                           for (auto& link : links) link->NoteClosed();
                         }
                         See(What::kAttempt, id, "", -1, attempt);
                       },
                       [this](const std::string& id, std::uint64_t attempt) {
                         See(What::kAttemptEnd, id, "", -1, attempt);
                       }});
  }

  // ---- Dispatchers ----

  void StartDaemon(int d) {
    nlohmann::json config = tests::ReadJson(std::string(ALDERSILL_EXCHANGES) + "/config.json");
    config.erase("discovery");
    config["name"] = "d" + std::to_string(d);
    nlohmann::json servers = nlohmann::json::array();
    for (int w = 0; w < table_.workers; ++w)
      servers.push_back({{"id", "w" + std::to_string(w)},
                         {"addr", "127.0.0.1:" + std::to_string(links_[d][w]->port())},
                         {"zone", "quilicura"},
                         {"state", "SERVING"}});
    config["known"] = {{"version", 1}, {"full", true}, {"servers", servers}};
    for (auto& tenant : config["settings"]["tenants"]) tenant["quotaPerS"] = 1000.0;
    const nlohmann::json own = {{"logging", {{"lines_per_second", 1}}}};
    daemons_[d].process = std::make_unique<tests::DaemonUnderTest>(config, own, "ALDERSILL_SETTINGS", " serving ", program_);
    if (!daemons_[d].process->ports().contains("http")) throw std::runtime_error("a dispatcher did not start");
    daemons_[d].state = State::kUp;
  }

  void Do(const Fault& f) {
    Daemon& daemon = daemons_[f.dispatcher];
    const auto later = [&](auto undo) { At(f.for_ms, undo); };
    // Done to the link or links at once, and undone after its time.
    const auto on_links = [&](auto change, auto undo) {
      for (int w = 0; w < table_.workers; ++w) {
        if (f.worker >= 0 && w != f.worker) continue;
        Relay* link = links_[f.dispatcher][w].get();
        change(link);
        later([link, undo] { undo(link); });
      }
    };
    const bool on_process = f.kind <= FaultKind::kPause;
    if (on_process && daemon.state != State::kUp) return;  // it has its trouble already
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
        // What clients have begun to ask must be on the wire first, however slow this machine is: what has not come by
        // then is not owed an answer.
        After(10, [&daemon] { daemon.process->Signal(SIGTERM); });
        break;
      case FaultKind::kPause:
        daemon.state = State::kPaused;
        daemon.process->Stop();
        later([&daemon] {
          daemon.process->Signal(SIGCONT);
          daemon.state = State::kUp;
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
              if (f.worker < 0 || w == f.worker) links_[f.dispatcher][w]->Reset();
            }
          });
        break;
    }
  }

  // ---- Service clients ----

  void Ask(int number) {
    const auto& job_class = kClasses[jobs_(3)];
    std::vector<int> up;
    for (int d = 0; d < table_.dispatchers; ++d) {
      if (daemons_[d].state == State::kUp) up.push_back(d);
    }
    const std::uint32_t draw = jobs_();  // drawn in any case, so that a fault does not reshuffle what follows
    if (up.empty()) return;
    const int d = up[draw % up.size()];
    auto& client = clients_.emplace_back(std::make_unique<Client>());
    client->play = this;
    client->id = std::string(job_class.name) + "-" + std::to_string(number);
    client->connection.reset(evhttp_connection_base_new(base_.get(), nullptr, "127.0.0.1",
                                                        daemons_[d].process->ports().at("http")));
    evhttp_connection_set_retries(client->connection.get(), 0);
    evhttp_connection_set_timeout(client->connection.get(), static_cast<int>(kClientPatience / kSecond));
    evhttp_request* request = evhttp_request_new(&Play_::OnAnswer, client.get());
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "origin.svc");
    evhttp_add_header(headers, "Req-Id", client->id.c_str());
    evhttp_add_header(headers, "Req-Kind", job_class.name);
    evhttp_add_header(headers, "Req-Owner", "hogar-del-sur");
    evhttp_add_header(headers, "Req-Deadline", (std::to_string(kDeadlineMs) + "m").c_str());
    evhttp_add_header(headers, "Idempotency-Key", client->id.c_str());
    evhttp_add_header(headers, "Connection", "close");
    See(What::kAsked, client->id, job_class.name, d);
    ++waiting_;
    const std::string path = std::string("/") + job_class.name;
    if (evhttp_make_request(client->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0) Over(client.get());
  }

  static void OnAnswer(evhttp_request* request, void* arg) {
    auto* client = static_cast<Client*>(arg);
    if (client->over) return;
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) return client->play->Over(client);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(body), '\0');
    evbuffer_copyout(body, text.data(), text.size());
    client->over = true;
    --client->play->waiting_;
    client->play->See(What::kAnswered, client->id, "", -1, 0, status, std::move(text));
  }

  void Over(Client* client) {
    if (std::exchange(client->over, true)) return;
    --waiting_;
    See(What::kBroken, client->id);
  }

  // Sees to dispatchers that have ended, and ends the run once nothing is waited for.
  void LookAround() {
    for (int d = 0; d < table_.dispatchers; ++d) {
      Daemon& daemon = daemons_[d];
      if (daemon.process == nullptr) continue;
      const std::optional<int> end = daemon.process->Ended();
      if (!end) continue;
      if (daemon.state != State::kEnding || *end != 0) ++run_.bad_ends;
      daemon.process.reset();
      StartDaemon(d);
    }
    const bool asked = SteadyNow() - started_ >= (table_.length_ms + 100) * kMillisecond;
    const bool settled = std::ranges::all_of(daemons_, [](const Daemon& d) { return d.state == State::kUp; });
    if (asked && settled && waiting_ == 0) {
      event_base_loopbreak(base_.get());
      return;
    }
    watchdog_->Set(10 * kMillisecond);
  }

  const Timetable table_;
  const std::string program_;
  pcg32 jobs_, work_;
  EventPtr<event_base> base_;
  Run run_;
  std::uint64_t attempts_ = 0;
  int runs_ = 0, jobs_at_workers_ = 0, waiting_ = 0;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<int, Job> at_work_;
  std::vector<std::vector<std::unique_ptr<Relay>>> links_;
  std::vector<Daemon> daemons_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::unique_ptr<Timer> watchdog_;
  const Micros started_ = SteadyNow();
};

}  // namespace

Run Play(const Timetable& table, const std::string& program) { return Play_(table, program).Go(); }

}  // namespace aldersill::fleet
