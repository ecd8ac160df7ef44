#include "http/frontend.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <ctime>
#include <tuple>
#include <utility>

#include "core/text.h"
#include "http/request_reader.h"
#include "log/log.h"
#include "net/listener.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

// A kept connection may stand idle for so long, but a request that has begun, or the first on a connection,
// must come whole within kArrival: a peer that sends half of one must not keep a descriptor.
constexpr Micros kIdle = 120 * kSecond;
constexpr Micros kArrival = 2'400 * kMillisecond;
// A peer that does not read its answer is let go.
constexpr timeval kWriteWithin = {10, 0};
// An error may come while the peer still sends. Closing at once would reset the connection and lose it, so
// what comes is thrown away for a while, up to what the largest honest mistake holds.
constexpr Micros kLinger = 3 * kSecond;
constexpr std::size_t kLingerBytes = 96 << 20;
constexpr std::size_t kLingerGulp = 1 << 20;
// Bodies this small are taken even where memory is short: those of usual clients are.
constexpr std::size_t kSmall = 4 * 1024;
// A newcomer's request is on its way; one that comes in pieces may take a little longer.
constexpr Micros kFresh = 60 * kMillisecond;
constexpr Micros kPieces = 500 * kMillisecond;
constexpr Micros kLookForRoomEvery = 20 * kMillisecond;
// One that is closed between requests has all that was sent to it; what it has sent meanwhile it sends again.
constexpr Micros kRestingLinger = 1 * kSecond;
// After SIGTERM. SIGKILL comes no sooner than kKillAfter and the longest deadline, counted as kKillCounts
// where it is longer. What comes whole later than kKillAfter must have its answer by then, with time to reach
// the client; the signal and the request may both have waited for us.
constexpr Micros kNewcomerGrace = 600 * kMillisecond;
constexpr Micros kKillAfter = 700 * kMillisecond;
constexpr Micros kKillCounts = 3 * kSecond;
constexpr Micros kKillMargin = 200 * kMillisecond;
constexpr Micros kLateFrom = 600 * kMillisecond;
// Less than this, and than half of what it may take, is too little for a job to be begun.
constexpr Micros kTooLittle = 500 * kMillisecond;
constexpr Micros kCloseEvery = 20 * kMillisecond;
// A handshake that is under way takes no longer; it ends at the listener where it began.
constexpr Micros kHandshake = 200 * kMillisecond;
constexpr Micros kBusyAdvice = 500 * kMillisecond;

// For the log, of a request that may be no good: its first.
std::string IdOf(const HttpRequest& request) {
  for (const auto& [name, value] : request.headers) {
    if (evutil_ascii_strcasecmp(name.c_str(), "Req-Id") == 0)
      return value;
  }
  return "";
}

const char* ReasonOf(int code) {
  switch (code) {
    case 200:
      return "OK";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Request Entity Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Bad Request";
  }
}

std::string DateNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[64];
  return {text, std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &parts)};
}

}  // namespace

class HttpFrontend::Connection {
 public:
  Connection(HttpFrontend* frontend, evutil_socket_t fd)
      : frontend_(frontend),
        stream_(bufferevent_socket_new(frontend->base_, fd, BEV_OPT_DEFER_CALLBACKS)),
        timer_(frontend->base_, [this] { OnTimer(); }) {
    bufferevent_setcb(stream_.get(), &Connection::OnRead, &Connection::OnWritten, &Connection::OnEvent, this);
    bufferevent_set_timeouts(stream_.get(), nullptr, &kWriteWithin);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    timer_.Set(kArrival);
  }
  ~Connection() {
    frontend_->unfinished_bytes_ -= counted_;
    rest_.reset();
    const evutil_socket_t fd = bufferevent_getfd(stream_.get());
    // A callback that is still due holds the stream: its events must not be left on a descriptor that the
    // next connection gets.
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    stream_.reset();
    // At once: libevent's own close waits for the loop's next round, and a burst would go over the limit.
    evutil_closesocket(fd);
  }

  // How gladly it is spared for a newcomer, and since when: the least of all goes first. Nothing for one that
  // has a request in hand.
  enum class Spare { kTold, kSilent, kIdle, kHalfway, kNever };
  using Spareness = std::pair<Spare, Micros>;
  // Only one that would go before `least` is looked at closely: the kernel is asked about few.
  Spareness Judge(Micros now, Spareness least) const {
    if (state_ == State::kLingering)
      return {Spare::kTold, since_};
    const bool stuck = state_ == State::kWriting && now - since_ > kSecond;  // reads no answer
    const bool halfway = state_ == State::kReading && reader_.begun() && now - begun_ > kPieces;
    if (stuck || halfway)
      return {Spare::kHalfway, since_};
    if (state_ != State::kReading || reader_.begun() || now - since_ < kFresh)
      return {Spare::kNever, 0};
    const Spareness quiet{served_ > 0 ? Spare::kIdle : Spare::kSilent, since_};
    return quiet < least && Unread() ? Spareness{Spare::kNever, 0} : quiet;
  }
  // Whether a drain may close it: a request on its way would be lost, though one that crosses the close is
  // sent again elsewhere.
  bool Idle() const {
    // A newcomer is about to send its request, whether it came after the signal or right before; it is closed
    // with its answer.
    const Micros now = SteadyNow();
    if (served_ == 0 && now - since_ < kNewcomerGrace && now < frontend_->AnswerBy())
      return false;
    return state_ == State::kReading && !Unread();
  }
  // Ends it between requests. Our end goes first: what crosses it is read and thrown away, never sent on, and
  // resets nothing that the client has yet to read.
  void Shut() { Linger(kRestingLinger); }
  // Half a request that SIGKILL would meet.
  bool Halfway() const { return state_ == State::kReading && reader_.begun() && !Waiting(); }
  void Expire() { Refuse(408, "the request has not come whole in time"); }
  bool Told() const { return state_ == State::kLingering; }

  void Reply(const FinalAnswer& answer) {
    if (const auto* served = std::get_if<Served>(&answer))
      return Write(200, served->result);
    if (const auto* rejection = std::get_if<Rejection>(&answer))
      return Write(503, "refused: trying again is harmless\n",
                   "Retry-After: " + DecimalSeconds(rejection->retry_after) + "\r\n");
    switch (std::get<Failure>(answer).why) {
      case Failure::Why::kTooLate:
        return Write(504, "no answer in time: it may have run\n");
      case Failure::Why::kRepeat:
        return Write(409, "a repeat that its class forbids\n");
      case Failure::Why::kFailed:
        return Write(502, "failed: it may have run\n");
    }
  }

  std::uint64_t client() const { return client_; }  // 0 without a request in hand
  // What another process needs to answer the request in hand; nothing where bytes behind it would be lost.
  std::optional<TransferredConnection> Held() const {
    if (state_ != State::kHeld || rest_ != nullptr || Waiting() || Ended())
      return std::nullopt;
    return TransferredConnection{bufferevent_getfd(stream_.get()), keep_ && !last_, head_only_};
  }
  // Goes on with the request that another process read.
  void Hold(std::uint64_t client, const TransferredConnection& held) {
    timer_.Clear();
    ++served_;
    keep_ = held.keep_alive;
    head_only_ = held.head_only;
    state_ = State::kHeld;
    client_ = client;
  }

  // Asks the system. What lies before the end hides it: that is read first, at once.
  bool Ended() const {
    char next = 0;
    const ssize_t size = recv(bufferevent_getfd(stream_.get()), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno == ECONNRESET);
  }

 private:
  enum class State { kReading, kHeld, kWriting, kLingering };

  bool Unread() const { return reader_.begun() || Waiting(); }
  bool Waiting() const {
    int unread = 0;
    return evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0 ||
           (ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &unread) == 0 && unread > 0);
  }

  static void OnRead(bufferevent*, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    c->state_ == State::kReading ? c->Read() : c->KeepForLater();
  }
  static void OnWritten(bufferevent* stream, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    if (evbuffer_get_length(bufferevent_get_output(stream)) > 0)
      return;
    if (c->state_ == State::kWriting)
      c->Written();
  }
  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0)
      return;
    // One that has ended its sending, with an answer on its way, still reads that.
    if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0 && c->state_ == State::kWriting) {
      c->last_ = true;
      return;
    }
    c->frontend_->Remove(c);
  }

  void OnTimer() {
    if (state_ == State::kLingering)
      return frontend_->Remove(this);
    if (state_ != State::kReading)
      return;
    // What has come in the same moment is read first.
    if (Waiting())
      return timer_.Set(kCloseEvery);
    reader_.begun() ? Expire() : Shut();
  }

  void Read() {
    evbuffer* input = bufferevent_get_input(stream_.get());
    while (state_ == State::kReading) {
      const std::size_t size = evbuffer_get_contiguous_space(input);
      if (size == 0)
        return;
      // The time counts from a request's first byte, not anew with each.
      if (!reader_.begun()) {
        begun_ = SteadyNow();
        if (served_ > 0)
          timer_.Set(kArrival);
      }
      const auto* bytes =
          reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
      try {
        evbuffer_drain(input, reader_.Read({bytes, size}));
        if (!Count(reader_.whole() ? 0 : reader_.held()))
          throw BadRequest(503, "no room for so large a request now");
        if (reader_.WantsContinue())
          bufferevent_write(stream_.get(), "HTTP/1.1 100 Continue\r\n\r\n", 25);
        if (reader_.whole())
          Take();
      } catch (const BadRequest& e) {
        return Refuse(e.code, e.what());
      }
    }
    KeepForLater();
  }

  // One request at a time: what comes behind the one in hand waits, as much as the next may hold. But reading
  // never stops, or the end of a client that sends much and goes would lie unseen behind it, and its job be
  // sent on. So the rest is thrown away, and with it the order of the stream: the answer ends the connection.
  void KeepForLater() {
    const std::size_t size = evbuffer_get_length(bufferevent_get_input(stream_.get()));
    if (Count(size) && size <= RequestReader::kMostBytes)
      return;
    last_ = true;
    ThrowAwayRest();
  }

  // What has come of a request that is not whole counts against what all of them may hold; false where that
  // leaves no room for it.
  bool Count(std::size_t bytes) {
    frontend_->unfinished_bytes_ += bytes - counted_;
    counted_ = bytes;
    return bytes <= kSmall || frontend_->unfinished_bytes_ <= frontend_->settings_.max_unfinished_bytes;
  }

  void Take() {
    timer_.Clear();
    ++served_;
    keep_ = reader_.keep_alive();
    HttpRequest request = std::move(reader_.request());
    head_only_ = request.method == "HEAD";
#ifdef ALDERSILL_PLANT_READY_LATE  // planted where a search must find it
    static const Micros since = SteadyNow();
    if (request.target == "/-/ready" && SteadyNow() < since + 12 * kSecond)
      return Write(503, "not ready\n");
#endif
    if (request.target == "/-/ready" && request.method == "GET")
      return frontend_->ready_() ? Write(200, "ready\n") : Write(503, "not ready: no worker list yet\n");
    const std::string id = IdOf(request);
    if (request.method != "POST") {
      frontend_->CountRejection(405, "jobs come by POST", id);
      return Write(405, "jobs come by POST\n", "Allow: POST\r\n");
    }
    Job job;
    try {
      job = DecodeJob(std::move(request), frontend_->settings_.requires_idempotency_key);
    } catch (const BadMessage& e) {
      frontend_->CountRejection(400, e.what(), id);
      return Write(400, std::string(e.what()) + "\n");
    }
    if (const auto left = frontend_->LeftWhileDraining()) {
      if (*left < kTooLittle && *left < job.time_left / 2) {
        frontend_->CountRejection(503, "too late in a drain", id);
        return Write(503, "refused: trying again is harmless\n",
                     "Retry-After: " + DecimalSeconds(kBusyAdvice) + "\r\n");
      }
      job.time_left = std::min(job.time_left, *left);
    }
    state_ = State::kHeld;
    client_ = frontend_->next_++;
    frontend_->held_.emplace(client_, this);
    frontend_->sink_->Post(RequestReceived{{ClientRef::Frontend::kHttp, client_}, std::move(job)});
  }

  // An answer after which nothing more can be read off this connection.
  void Refuse(int code, const std::string& why) {
    keep_ = false;
    ThrowAwayRest();
    frontend_->CountRejection(code, why, IdOf(reader_.request()));
    Write(code, why + "\n", code == 503 ? "Retry-After: " + DecimalSeconds(kBusyAdvice) + "\r\n" : "");
  }

  void Write(int code, const std::string& body, const std::string& headers = "") {
    client_ = 0;
    state_ = State::kWriting;
    since_ = SteadyNow();
    last_ = last_ || !keep_ || frontend_->drain_began_ != 0;
    std::string text = "HTTP/1.1 " + std::to_string(code) + " " + ReasonOf(code) + "\r\n";
    if (last_)
      text += "Connection: close\r\n";
    text += headers + "Content-Type: text/plain; charset=utf-8\r\nDate: " + DateNow() +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!head_only_)
      text += body;
    bufferevent_write(stream_.get(), text.data(), text.size());
  }

  void Written() {
    since_ = SteadyNow();
    if (last_)
      return Linger(kLinger);
    state_ = State::kReading;
    reader_.Reset();
    timer_.Set(kIdle);
    Read();  // what was read meanwhile
  }

  void Linger(Micros within) {
    state_ = State::kLingering;
    bufferevent_disable(stream_.get(), EV_WRITE);
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    timer_.Set(within);
    if (rest_ == nullptr)
      ThrowAwayRest();
  }

  // Nothing that comes from here on is kept; its end is still seen.
  void ThrowAwayRest() {
    bufferevent_disable(stream_.get(), EV_READ);
    evbuffer* input = bufferevent_get_input(stream_.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    Count(0);
    rest_.reset(event_new(frontend_->base_, bufferevent_getfd(stream_.get()), EV_READ | EV_PERSIST,
                          &Connection::OnRest, this));
    event_add(rest_.get(), nullptr);
  }

  static void OnRest(evutil_socket_t fd, short, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    // The kernel lets go of the bytes without handing them over.
    const ssize_t size = recv(fd, nullptr, kLingerGulp, MSG_TRUNC | MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (size > 0 && (c->thrown_away_ += static_cast<std::size_t>(size)) < kLingerBytes)
      return;
    // One that has ended its sending, with an answer on its way, still reads that.
    if (size == 0 && c->state_ == State::kWriting)
      return c->rest_.reset();
    c->frontend_->Remove(c);
  }

  HttpFrontend* frontend_;
  EventPtr<bufferevent> stream_;
  EventPtr<event> rest_;  // of what is thrown away: freed before the stream closes the descriptor
  Timer timer_;
  RequestReader reader_;
  State state_ = State::kReading;
  Micros since_ = SteadyNow();  // accepted, or last answered
  Micros begun_ = 0;            // its request's first byte came
  std::uint64_t client_ = 0;
  std::uint64_t served_ = 0;
  std::size_t counted_ = 0;
  std::size_t thrown_away_ = 0;
  bool keep_ = false;
  bool last_ = false;  // this answer, or the next, ends the connection
  bool head_only_ = false;
};

HttpFrontend::HttpFrontend(event_base* base, const Endpoint& listen, HttpFrontendSettings settings,
                           EventSink* sink, std::function<bool()> ready)
    : base_(base),
      settings_(std::move(settings)),
      sink_(sink),
      ready_(std::move(ready)),
      listener_(CreateListener(listen)),
      drain_timer_(base, [this] { CloseIdle(); }),
      leave_timer_(base, [this] { StopListening(); }),
      room_timer_(base, [this] { UpdateAcceptState(); }),
      rejections_timer_(base, [this] { LogRejections(false); }) {}
HttpFrontend::~HttpFrontend() { LogRejections(true); }

EventPtr<evconnlistener> HttpFrontend::CreateListener(const Endpoint& listen) {
  EventPtr<evconnlistener> listener = BindListener(
      base_, listen, "listen", settings_.shared_endpoint ? PortSharing::kShared : PortSharing::kExclusive,
      {.function = &HttpFrontend::OnAccept, .arg = this});
  evconnlistener_set_error_cb(listener.get(), &HttpFrontend::OnAcceptFailed);
  return listener;
}

void HttpFrontend::ApplySettings(HttpFrontendSettings settings, EventPtr<evconnlistener> listener) {
  settings_ = std::move(settings);
  if (listener != nullptr) {
    listener_ = std::move(listener);
    if (listens_)
      StartListening();
  }
  UpdateAcceptState();
}

void HttpFrontend::StartListening() {
  listens_ = true;
  aldersill::StartListening(listener_.get());
}

int HttpFrontend::port() const { return LocalPort(evconnlistener_get_fd(listener_.get())); }

void HttpFrontend::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  frontend->last_accept_ = SteadyNow();
  auto connection = std::make_unique<Connection>(frontend, fd);
  Connection* raw = connection.get();
  frontend->connections_.emplace(raw, std::move(connection));
  frontend->UpdateAcceptState();
}

// As where the descriptors are spent: the newcomer stays in the queue and would wake us up again at once.
void HttpFrontend::OnAcceptFailed(evconnlistener*, void* self) {
  auto* frontend = static_cast<HttpFrontend*>(self);
  if (!frontend->EvictConnection())
    frontend->PauseAccepting();
}

bool HttpFrontend::EvictConnection() {
#ifdef ALDERSILL_PLANT_CROWDED_OUT  // planted where a search must find it
  return false;
#endif
  using Spare = Connection::Spare;
  const Micros now = SteadyNow();
  Connection* best = nullptr;
  Connection::Spareness least{Spare::kNever, 0};
  for (const auto& [connection, owned] : connections_) {
    const auto spareness = connection->Judge(now, least);
    if (spareness >= least)
      continue;
    least = spareness;
    best = connection;
  }
  if (best == nullptr)
    return false;
  // At once, as its descriptor is needed: a request that crosses this meets a reset and is sent again on a
  // new connection. One at rest has nothing unread before it, and its last answer is at least kFresh old.
  Remove(best);
  return true;
}

// Where nobody can be spared, newcomers wait in the listen queue: instance links need the other descriptors.
void HttpFrontend::UpdateAcceptState() {
  if (!listens_)
    return;
  if (connections_.size() < settings_.max_connections || EvictConnection()) {
    evconnlistener_enable(listener_.get());
    return;
  }
  PauseAccepting();
}

void HttpFrontend::PauseAccepting() {
  if (!listens_)
    return;
  Log(LogLevel::kWarning, "client_connection_limit_reached",
      {{"connections", connections_.size()}, {"with_request", held_.size()}});
  evconnlistener_disable(listener_.get());
  room_timer_.Set(kLookForRoomEvery);
}

void HttpFrontend::Remove(Connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  const std::unique_ptr<Connection> owned = std::move(found->second);
  connections_.erase(found);
  const std::uint64_t client = owned->client();
  if (held_.erase(client) > 0)
    sink_->Post(ClientLeft{{ClientRef::Frontend::kHttp, client}});
}

void HttpFrontend::CountRejection(int status, const std::string& why, const std::string& id) {
  sink_->Post(RequestRejectedByFrontend{ClientRef::Frontend::kHttp, status, why, id});
  rejections_.Add(status, why, id);
  LogRejections(false);
}

void HttpFrontend::LogRejections(bool all) {
  const Micros now = SteadyNow();
  for (const RejectionLogThrottle::Notice& n : rejections_.Take(now, all)) {
    Log(LogLevel::kWarning, "requests_rejected",
        {{"status", n.status}, {"why", n.why}, {"count", n.count}, {"example", n.example}});
  }
  if (const auto wait = rejections_.NextIn(now))
    rejections_timer_.Set(std::max<Micros>(1, *wait));
}

void HttpFrontend::Reply(std::uint64_t client, const FinalAnswer& answer) {
  const auto found = held_.find(client);
  if (found == held_.end())
    return;
  Connection* connection = found->second;
  held_.erase(found);
  connection->Reply(answer);
}

bool HttpFrontend::ClientDisconnected(std::uint64_t client) const {
  const auto found = held_.find(client);
  return found != held_.end() && found->second->Ended();
}

std::optional<TransferredConnection> HttpFrontend::PrepareTransfer(std::uint64_t client) const {
  const auto found = held_.find(client);
  if (found == held_.end())
    return std::nullopt;
  return found->second->Held();
}

void HttpFrontend::CompleteTransfer(std::uint64_t client) {
  const auto found = held_.find(client);
  if (found == held_.end())
    return;
  Connection* connection = found->second;
  held_.erase(found);
  connections_.erase(connection);
}

std::uint64_t HttpFrontend::ReceiveTransfer(const TransferredConnection& held) {
  auto connection = std::make_unique<Connection>(this, held.fd);
  Connection* raw = connection.get();
  connections_.emplace(raw, std::move(connection));
  const std::uint64_t client = next_++;
  held_.emplace(client, raw);
  raw->Hold(client, held);
  return client;
}

void HttpFrontend::StartDraining() {
  if (drain_began_ != 0)
    return;
  drain_began_ = last_accept_ = SteadyNow();
  CloseIdle();
}

void HttpFrontend::RouteNewConnectionsTo(unsigned number) {
  if (!aldersill::RouteNewConnectionsTo(evconnlistener_get_fd(listener_.get()), number))
    return Log(LogLevel::kWarning, "connection_routing_unavailable",
               {{"effect", "keeps listening until it exits"}});
  last_accept_ = SteadyNow();
  leave_timer_.Set(kHandshake);
}

// Those whose handshake was under way are in the queue by now, or have been taken.
void HttpFrontend::StopListening() {
  const Micros since = TimeSinceLastAccept();
  if (since < kHandshake)
    return leave_timer_.Set(kHandshake - since);
  listens_ = false;
  room_timer_.Clear();
  evconnlistener_disable(listener_.get());
  listener_.reset();
}

void HttpFrontend::CloseIdle() {
  const bool late = SteadyNow() >= AnswerBy();
  for (const auto& [connection, owned] : connections_) {
    if (connection->Idle())
      connection->Shut();
    if (late && connection->Halfway())
      connection->Expire();
  }
  drain_timer_.Set(kCloseEvery);
}

Micros HttpFrontend::AnswerBy() const {
  return drain_began_ + kKillAfter + std::min(settings_.longest_deadline, kKillCounts) - kKillMargin;
}

std::optional<Micros> HttpFrontend::LeftWhileDraining() const {
  const Micros now = SteadyNow();
  if (drain_began_ == 0 || now - drain_began_ < kLateFrom)
    return std::nullopt;
  return std::max<Micros>(0, AnswerBy() - now);
}

bool HttpFrontend::IsDrained() const {
  if (connections_.empty())
    return true;
  // Peers that have their answers and never close must not keep the program until it is killed.
  return drain_began_ != 0 && SteadyNow() >= AnswerBy() &&
         std::all_of(connections_.begin(), connections_.end(), [](const auto& c) { return c.first->Told(); });
}

}  // namespace aldersill
