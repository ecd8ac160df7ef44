#include "faktory/frontend.h"

#include <sys/ioctl.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

#include "core/text.h"
#include "faktory/resp.h"
#include "log/log.h"

namespace aldersill::faktory {
namespace {

constexpr std::size_t kMostLine = 64 * 1024;  // as much as a body on the platform's wire
constexpr std::size_t kMostGivenUp = 10'000;
constexpr Micros kHelloWithin = 5 * kSecond;
constexpr Micros kNewcomerGrace = 600 * kMillisecond;
constexpr Micros kCloseEvery = 20 * kMillisecond;
constexpr timeval kWriteWithin = {120, 0};  // a peer that reads no replies must not hold its session for good
constexpr char kPrefix[] = "faktory:";      // keeps a wid from passing for one of discovery's ids

// What follows ERR: a nack tells when to come back, a failure promises nothing.
std::string Describe(const FinalAnswer& answer) {
  if (const auto* rejection = std::get_if<Rejection>(&answer))
    return "NACK retry-after=" + DecimalSeconds(rejection->retry_after) +
           " refused: pushing again is harmless";
  switch (std::get<Failure>(answer).why) {
    case Failure::Why::kTooLate:
      return "FAILED no answer in time: it may have run";
    case Failure::Why::kRepeat:
      return "FAILED a repeat of this jid that its class forbids";
    case Failure::Why::kFailed:
      break;
  }
  return "FAILED it may have run";
}

}  // namespace

// One connection: a producer's, or one of a worker's.
class Frontend::Session {
 public:
  Session(Frontend* frontend, evutil_socket_t fd)
      : frontend_(frontend),
        stream_(bufferevent_socket_new(frontend->base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
        timer_(frontend->base_, [this] { OnTimer(); }) {
    bufferevent_setcb(stream_.get(), &Session::OnRead, &Session::OnWritten, &Session::OnEvent, this);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, 2 * kMostLine);
    bufferevent_set_timeouts(stream_.get(), nullptr, &kWriteWithin);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    Write(SimpleString("HI {\"v\":2}"));
    timer_.Set(kHelloWithin);
  }

  const std::string& worker() const { return worker_; }
  void BecomeWorker(std::string name) { worker_ = std::move(name); }
  const std::vector<std::uint64_t>& pushes() const { return pushes_; }
  bool ended() const { return state_ == State::kEnding; }
  bool parked() const { return state_ == State::kFetching; }
  // Whether it may be closed in a drain: a command on its way would lose its answer.
  bool Idle(Micros drain_began) const {
    const Micros now = SteadyNow();
    // One that came after the drain began, or has sent half a line, is about to send its command.
    const bool halfway = evbuffer_get_length(bufferevent_get_input(stream_.get())) != 0;
    if ((accepted_ >= drain_began || halfway) && now - std::max(accepted_, drain_began) < kNewcomerGrace)
      return false;
    int unread = 0;
    return (state_ == State::kGreeting || state_ == State::kReady) &&
           evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0 &&
           ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &unread) == 0 && unread == 0;
  }

  // Ends the wait of a FETCH, or makes the command's reply: what was read meanwhile is served next.
  void Answer(const std::string& reply) {
    timer_.Clear();
    state_ = State::kReady;
    Write(reply);
    // Not from here: whoever answers may be in the middle of telling the core.
    ServeLater();
  }

  void Settle(std::uint64_t client, const FinalAnswer& answer) {
    const auto at = std::find(pushes_.begin(), pushes_.end(), client);
    if (at == pushes_.end())
      return;
    const bool served = std::holds_alternative<Served>(answer);
    if (state_ == State::kBulk) {
      if (!served)
        bulk_errors_.emplace_back(bulk_jids_[client], Describe(answer));
      pushes_.erase(at);
      if (pushes_.empty() && !filling_)
        FinishBulk();
      return;
    }
    pushes_.erase(at);
    Answer(served ? SimpleString("OK") : Error("ERR", Describe(answer)));
  }

 private:
  enum class State { kGreeting, kReady, kFetching, kPushing, kBulk, kEnding };

  void Write(const std::string& text) { bufferevent_write(stream_.get(), text.data(), text.size()); }
  void ServeLater() { bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS); }

  static void OnRead(bufferevent*, void* arg) { static_cast<Session*>(arg)->Serve(); }
  static void OnWritten(bufferevent* stream, void* arg) {
    auto* s = static_cast<Session*>(arg);
    const Micros drain_began = s->frontend_->drain_began_;
    // In a drain a producer that pushes again at once is never seen idle later: its replies are where it can
    // end.
    const bool between = drain_began != 0 && s->worker_.empty() && s->Idle(drain_began);
    if (between || (s->state_ == State::kEnding && evbuffer_get_length(bufferevent_get_output(stream)) == 0))
      s->frontend_->Remove(s);
  }
  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* s = static_cast<Session*>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
      s->frontend_->Remove(s);
  }

  void OnTimer() {
    if (state_ == State::kGreeting)
      return frontend_->Remove(this);  // never said HELLO
    if (state_ != State::kFetching)
      return;
    frontend_->Unpark(this);
    Answer(NullBulk());
  }

  // One command at a time: replies come in the order of their commands.
  void Serve() {
    evbuffer* input = bufferevent_get_input(stream_.get());
    while (state_ == State::kGreeting || state_ == State::kReady) {
      std::size_t size = 0;
      char* line = evbuffer_readln(input, &size, EVBUFFER_EOL_CRLF);
      if (line == nullptr) {
        if (evbuffer_get_length(input) > kMostLine)
          End(Error("ERR", "command too long"));
        return;
      }
      const std::string text(line, size);
      std::free(line);
      if (size > kMostLine)
        return End(Error("ERR", "command too long"));
      try {
        Perform(DecodeCommand(text));
      } catch (const BadCommand& e) {
        if (state_ == State::kGreeting)
          return End(Error("ERR", e.what()));
        Write(Error("ERR", e.what()));
      }
    }
  }

  void End(const std::string& last) {
    state_ = State::kEnding;
    timer_.Clear();
    Write(last);
  }

  void Perform(const Command& c) {
    if (state_ == State::kGreeting) {
      if (c.verb != "HELLO")
        throw BadCommand("HELLO comes first");
      const Hello hello = DecodeHello(c.argument);
      if (hello.version != 2)
        throw BadCommand("only version 2 is spoken here");
      timer_.Clear();
      state_ = State::kReady;
      Write(SimpleString("OK"));
      if (!hello.wid.empty())
        frontend_->Enter(this, hello);
      return;
    }
    if (!worker_.empty())
      frontend_->Heard(worker_);
    if (c.verb == "PUSH")
      return Push(c.argument);
    if (c.verb == "PUSHB")
      return PushBulk(c.argument);
    if (c.verb == "FETCH")
      return Fetch();
    if (c.verb == "ACK")
      return Write(frontend_->Acknowledge(NeedWorker(), DecodeAck(c.argument), Outcome::kServed));
    if (c.verb == "FAIL")
      return Write(frontend_->Acknowledge(NeedWorker(), DecodeAck(c.argument), Outcome::kError));
    if (c.verb == "BEAT")
      return Write(frontend_->Hear(NeedWorker(), DecodeBeat(c.argument)));
    if (c.verb == "INFO") {
      return Write(
          BulkString(EncodeInfo({frontend_->sessions_.size(), frontend_->workers_.size(), frontend_->pushed_,
                                 frontend_->done_, frontend_->failed_, SteadyNow() - frontend_->began_})));
    }
    if (c.verb == "END") {
      state_ = State::kEnding;
      // Not from here, where commands are still being read; replies on their way out go first.
      bufferevent_trigger(stream_.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
      return;
    }
    throw BadCommand("unknown command " + c.verb);
  }

  const std::string& NeedWorker() const {
    if (worker_.empty())
      throw BadCommand("only a worker, with a wid in its HELLO, may do this");
    return worker_;
  }

  void Push(const std::string& argument) {
    Job job = DecodePush(argument, frontend_->settings_.classes);
    state_ = State::kPushing;
    frontend_->Take(this, std::move(job));
  }

  void PushBulk(const std::string& argument) {
    std::vector<Pushed> jobs = DecodePushBulk(argument, frontend_->settings_.classes);
    state_ = State::kBulk;
    bulk_errors_.clear();
    bulk_jids_.clear();
    filling_ = true;  // one that is answered at once must not end the reply while the rest are taken
    for (Pushed& pushed : jobs) {
      if (!pushed.job) {
        bulk_errors_.emplace_back(pushed.jid, pushed.error);
        continue;
      }
      bulk_jids_[frontend_->next_client_] = pushed.jid;
      frontend_->Take(this, std::move(*pushed.job));
    }
    filling_ = false;
    if (pushes_.empty())
      FinishBulk();
  }

  void FinishBulk() { Answer(BulkString(EncodePushBulkReply(bulk_errors_))); }

  void Fetch() {
    NeedWorker();
    state_ = State::kFetching;
    timer_.Set(frontend_->settings_.fetch_wait);
    frontend_->Park(this);
  }

  friend class Frontend;

  Frontend* frontend_;
  EventPtr<bufferevent> stream_;
  Timer timer_;
  const Micros accepted_ = SteadyNow();
  State state_ = State::kGreeting;
  std::string worker_;
  std::vector<std::uint64_t> pushes_;  // not yet answered
  std::unordered_map<std::uint64_t, std::string> bulk_jids_;
  std::vector<std::pair<std::string, std::string>> bulk_errors_;
  bool filling_ = false;
};

Frontend::Frontend(event_base* base, FrontendSettings settings, EventSink* sink)
    : base_(base),
      settings_(std::move(settings)),
      sink_(sink),
      began_(SteadyNow()),
      drain_timer_(base, [this] { CloseIdle(); }) {
  listener_ = Open(settings_.listen);
}
Frontend::~Frontend() = default;

EventPtr<evconnlistener> Frontend::Open(const Endpoint& listen) {
  return ListenOn(base_, listen, "faktory.listen", &Frontend::OnAccept, this);
}

void Frontend::ApplySettings(FrontendSettings settings, EventPtr<evconnlistener> listener) {
  settings_ = std::move(settings);
  if (listener == nullptr)
    return;
  if (listener_ == nullptr) {
    drain_began_ = 0;
    drain_timer_.Clear();
  }
  listener_ = std::move(listener);
}

int Frontend::port() const { return PortOf(evconnlistener_get_fd(listener_.get())); }

void Frontend::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  auto* frontend = static_cast<Frontend*>(arg);
  if (frontend->sessions_.size() >= static_cast<std::size_t>(frontend->settings_.most_connections)) {
    Log(LogLevel::kWarning, "faktory_session_limit_reached", {{"sessions", frontend->sessions_.size()}});
    evutil_closesocket(fd);
    return;
  }
  auto session = std::make_unique<Session>(frontend, fd);
  Session* raw = session.get();
  frontend->sessions_.emplace(raw, std::move(session));
}

void Frontend::BeginDrain() {
  if (drain_began_ != 0)
    return;
  drain_began_ = SteadyNow();
  CloseIdle();
}

void Frontend::Close() {
  listener_.reset();
  BeginDrain();
}

void Frontend::CloseIdle() {
  std::vector<Session*> idle;
  for (const auto& [raw, owned] : sessions_) {
    if (raw->worker().empty() && raw->Idle(drain_began_))
      idle.push_back(raw);
  }
  for (Session* one : idle)
    Remove(one);
  drain_timer_.Set(kCloseEvery);
}

bool Frontend::Quiet() const {
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& session) { return !session.first->worker().empty(); });
}

// ---- Producers ----

std::uint64_t Frontend::Take(Session* session, Job job) {
  const std::uint64_t client = next_client_++;
  clients_[client] = session;
  session->pushes_.push_back(client);
  ++pushed_;
  sink_->Post(RequestReceived{{ClientRef::Frontend::kFaktory, client}, std::move(job)});
  return client;
}

void Frontend::Reply(std::uint64_t client, const FinalAnswer& answer) {
  const auto found = clients_.find(client);
  if (found == clients_.end())
    return;
  Session* session = found->second;
  clients_.erase(found);
  ++(std::holds_alternative<Served>(answer) ? done_ : failed_);
  session->Settle(client, answer);
}

// ---- Workers ----

void Frontend::Enter(Session* session, const Hello& hello) {
  const std::string name = kPrefix + hello.wid;
  session->BecomeWorker(name);
  Worker& w = workers_[name];
  if (w.silence == nullptr) {
    // A start of long ago: nobody can push a worker over that is only given what it fetches.
    w.endpoint.name = w.endpoint.address = name;
    w.endpoint.zone = hello.zone;
    w.endpoint.kind = hello.kind;
    w.silence = std::make_unique<Timer>(base_, [this, name] {
      Log(LogLevel::kWarning, "faktory_worker_lost",
          {{"worker", name}, {"why", workers_.at(name).sessions > 0 ? "no heartbeat" : "not connected"}});
      Lose(name);
    });
  }
  w.silence->Set(settings_.silence);
  if (w.sessions++ > 0)
    return;
  w.endpoint.state = w.quiet ? WorkerEndpoint::State::kDraining : WorkerEndpoint::State::kReady;
  TellState(w);
}

void Frontend::Heard(const std::string& wid) { workers_.at(wid).silence->Set(settings_.silence); }

void Frontend::TellState(const Worker& worker) {
  sink_->Post(EndpointListUpdate{
      EndpointListUpdate::Form::kDelta, WorkerEndpoint::Source::kSession, {worker.endpoint}});
}

void Frontend::TellFree(const Worker& worker) {
  LoadReport report;
  report.free_slots =
      static_cast<double>(worker.fetching.size()) - static_cast<double>(worker.waiting.size());
  sink_->Post(ProbeCompleted{worker.endpoint.name, Outcome::kServed, 0, report});
}

void Frontend::Park(Session* session) {
  Worker& w = workers_.at(session->worker());
  w.fetching.push_back(session);
  if (!w.waiting.empty()) {
    const StartAttempt next = std::move(w.waiting.front());
    w.waiting.pop_front();
    w.fetching.pop_back();
    return Deliver(&w, session, next);
  }
  if (w.endpoint.state == WorkerEndpoint::State::kReady)
    TellFree(w);
}

void Frontend::Unpark(Session* session) {
  if (!session->parked())
    return;
  std::erase(workers_.at(session->worker()).fetching, session);
}

void Frontend::Start(const StartAttempt& start) {
  const auto found = workers_.find(start.worker);
  if (found == workers_.end()) {
    sink_->Post(AttemptEnded{start.attempt, Outcome::kConnectFailed, "", {}});
    return;
  }
  Worker& w = found->second;
  attempts_[start.attempt] = start.worker;
  if (w.fetching.empty()) {
    w.waiting.push_back(start);  // the core bounds this wait
    return;
  }
  Session* session = w.fetching.front();
  w.fetching.pop_front();
  Deliver(&w, session, start);
}

void Frontend::Deliver(Worker* worker, Session* session, const StartAttempt& start) {
  worker->held.emplace(start.job->id, Worker::Held{start.attempt, session});
  session->Answer(BulkString(EncodeFetched(*start.job, start.time_left)));
  sink_->Post(AttemptSent{start.attempt});
}

void Frontend::Stop(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return;
  const auto worker = workers_.find(found->second);
  attempts_.erase(found);
  if (worker == workers_.end())
    return;  // it left, and with it all that it had
  Worker& w = worker->second;
  std::erase_if(w.waiting, [attempt](const StartAttempt& s) { return s.attempt == attempt; });
  const auto held =
      std::find_if(w.held.begin(), w.held.end(), [&](const auto& h) { return h.second.attempt == attempt; });
  if (held == w.held.end())
    return;
  // The worker has no way to hear of it: its ACK will come, and must be known from one for a job it never
  // had. A worker that never acknowledges must not fill our memory with what it owes.
  if (w.given_up.size() >= kMostGivenUp) {
    Release(w);
    w.given_up.clear();
  }
  w.given_up.emplace(held->first, attempt);
  w.held.erase(held);
}

std::string Frontend::Acknowledge(const std::string& wid, const Ack& ack, Outcome outcome) {
  Worker& w = workers_.at(wid);
  // One given up on earlier was fetched earlier: its end comes first.
  if (const auto late = w.given_up.find(ack.jid); late != w.given_up.end()) {
    const AttemptId attempt = late->second;
    w.given_up.erase(late);
    sink_->Post(AbandonedAttemptEnded{attempt});
    return SimpleString("OK");  // nobody waits for it any more
  }
  const auto held = w.held.find(ack.jid);
  if (held == w.held.end())
    return Error("ERR", "unknown job " + ack.jid);
  const AttemptId attempt = held->second.attempt;
  w.held.erase(held);
  attempts_.erase(attempt);
  sink_->Post(AttemptEnded{attempt, outcome, ack.result, {}});
  return SimpleString("OK");
}

std::string Frontend::Hear(const std::string& wid, const Beat& beat) {
  if (kPrefix + beat.wid != wid)
    return Error("ERR", "BEAT of another wid");
  Worker& w = workers_.at(wid);
  if (beat.state.empty() || std::exchange(w.quiet, true))
    return SimpleString("OK");
  w.endpoint.state = WorkerEndpoint::State::kDraining;
  TellState(w);
  return SimpleString("OK");
}

void Frontend::Leave(Session* session, bool by_end) {
  const std::string name = session->worker();
  Worker& w = workers_.at(name);
  if (!by_end && w.sessions == 1)
    return Lose(name);
  --w.sessions;
  std::vector<AttemptId> lost;
  for (auto& [jid, held] : w.held) {
    if (held.session != session)
      continue;
    // A client library's pool ends idle connections while their jobs run, acknowledges over any of them, and
    // opens the next a moment after it has ended the last.
    held.session = nullptr;
    if (!by_end)
      lost.push_back(held.attempt);
  }
  if (w.sessions == 0) {
    w.silence->Set(settings_.return_within);
    w.endpoint.state = WorkerEndpoint::State::kDraining;
    TellState(w);
  }
  for (const AttemptId attempt : lost) {
    std::erase_if(w.held, [attempt](const auto& h) { return h.second.attempt == attempt; });
    attempts_.erase(attempt);
    sink_->Post(AttemptEnded{attempt, Outcome::kLost, "", {}});
  }
}

void Frontend::Release(const Worker& worker) {
  for (const auto& [jid, attempt] : worker.given_up)
    sink_->Post(AbandonedAttemptEnded{attempt});
}

void Frontend::Lose(const std::string& name) {
  const auto found = workers_.find(name);
  Worker gone = std::move(found->second);
  workers_.erase(found);
  std::vector<Session*> its;
  for (const auto& [raw, owned] : sessions_) {
    if (raw->worker() == name)
      its.push_back(raw);
  }
  for (Session* one : its)
    Remove(one);
  std::vector<AttemptId> lost, unsent;
  for (const auto& [jid, held] : gone.held)
    lost.push_back(held.attempt);
  for (const StartAttempt& start : gone.waiting)
    unsent.push_back(start.attempt);
  gone.endpoint.state = WorkerEndpoint::State::kGone;
  // The name table first: what is lost here must not be sent here again.
  TellState(gone);
  Release(gone);
  for (const AttemptId attempt : unsent) {
    attempts_.erase(attempt);
    sink_->Post(AttemptEnded{attempt, Outcome::kConnectFailed, "", {}});
  }
  for (const AttemptId attempt : lost) {
    attempts_.erase(attempt);
    sink_->Post(AttemptEnded{attempt, Outcome::kLost, "", {}});
  }
}

void Frontend::Remove(Session* session) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end())
    return;
  const std::unique_ptr<Session> owned = std::move(found->second);
  sessions_.erase(found);
  for (const std::uint64_t client : session->pushes_) {
    clients_.erase(client);
    sink_->Post(ClientLeft{{ClientRef::Frontend::kFaktory, client}});
  }
  if (!workers_.contains(session->worker()))
    return;  // a producer's, or its worker is gone already
  Unpark(session);
  Leave(session, session->ended());
}

}  // namespace aldersill::faktory
