#include "http/worker_client.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "http/codec.h"
#include "log/log.h"
#include "net/endpoint.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {
namespace {

constexpr std::size_t kMostLine = 64 * 1024;  // a line or a report longer than any honest body
constexpr std::size_t kMostHeaders = 32 * 1024;
constexpr std::size_t kMostKept = 16 * 1024;  // of an answer, for another process

// A value goes onto the wire as it came, but never with the means to end its line.
std::string HeaderLine(const char* name, const std::string& value) {
  std::string line = std::string(name) + ": ";
  for (const char c : value) {
    if (c != '\r' && c != '\n')
      line.push_back(c);
  }
  return line + "\r\n";
}

std::string Encode(const Job& job, const std::string& address, Micros time_left) {
  std::string text = job.method + " " + job.target + " HTTP/1.1\r\n" + HeaderLine("Host", address) +
                     HeaderLine("Req-Id", job.id) + HeaderLine("Req-Kind", job.job_class) +
                     HeaderLine("Req-Deadline", EncodeDeadline(time_left)) + "Connection: close\r\n";
  if (!job.tenant.empty())
    text += HeaderLine("Req-Owner", job.tenant);
  if (!job.idempotency_key.empty())
    text += HeaderLine("Idempotency-Key", job.idempotency_key);
  if (!job.content_type.empty())
    text += HeaderLine("Content-Type", job.content_type);
  return text + "Content-Length: " + std::to_string(job.body.size()) + "\r\n\r\n" + job.body;
}

}  // namespace

class WorkerClient::Connection {
 public:
  Connection(WorkerClient* link, std::string to, EventPtr<bufferevent> stream)
      : address(std::move(to)),
        link_(link),
        stream_(std::move(stream)),
        probe_timer_(link->base_, [this] { Break(Outcome::kTimeout); }) {
    bufferevent_setcb(stream_.get(), &Connection::OnRead, nullptr, &Connection::OnEvent, this);
    // At once, not with the stream's own callbacks, which are deferred: what else is due in the same turn of
    // the loop, as news that the instance drains, must not take a request for one that never went out.
    evbuffer_add_cb(bufferevent_get_output(stream_.get()), &Connection::OnTaken, this);
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }
  ~Connection() {
    // A deferred callback may keep the stream for a while: nothing may go out any more, and nobody be told.
    evbuffer_remove_cb(bufferevent_get_output(stream_.get()), &Connection::OnTaken, this);
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects a new one; false if that failed at once.
  bool Connect(const sockaddr_in& to) {
    if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0)
      return false;
    const int on = 1;
    setsockopt(bufferevent_getfd(stream_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    return true;
  }

  void Run(AttemptId attempt, std::shared_ptr<const Job> job) {
    attempt_ = attempt;
    job_ = std::move(job);
  }
  // In this very moment as far as the kernel takes it, not in the loop's next turn: what was judged must
  // still hold at the first byte.
  void Send(Micros time_left) {
    bufferevent* stream = stream_.get();
    evbuffer* output = bufferevent_get_output(stream);
    Write(Encode(*job_, address, time_left));
    bufferevent_incref(stream);  // whoever is told of the hand-over may end this connection
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(stream));
    evbuffer_freeze(output, 1);
    bufferevent_decref(stream);
  }
  void Probe(std::string worker, const std::string& message, ProbeDone done) {
    probe_done_ = std::move(done);
    probed_ = std::move(worker);
    Write(message);
    probe_timer_.Set(link_->dial_timeout_ * 4);  // a probe that takes longer tells nothing
  }
  std::optional<TransferredAttempt> Running() const {
    if (!sent_ || settled_ || whole_ || received_.size() > kMostKept)
      return std::nullopt;
    return TransferredAttempt{bufferevent_getfd(stream_.get()), address, received_};
  }
  // The instance has the request already, and has answered with this much.
  void Resume(AttemptId attempt, std::shared_ptr<const Job> job, const std::string& received) {
    Run(attempt, std::move(job));
    sent_ = true;
    received_ = received;
    Parse(received.data(), received.size());
    notes_.clear();  // told before
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  }
  // Lets go of the execution without a word: the core has ended it.
  void Abandon() { attempt_.reset(); }

  const std::string address;
  const Micros began = SteadyNow();

 private:
  static Connection& Of(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

  void Write(const std::string& message) {
    started_ = SteadyNow();
    bufferevent_write(stream_.get(), message.data(), message.size());
  }

  static void OnTaken(evbuffer* output, const evbuffer_cb_info* info, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    if (info->n_deleted == 0 || c->sent_ || !c->attempt_ || evbuffer_get_length(output) > 0)
      return;
    c->sent_ = true;
    c->link_->sink_->Post(AttemptSent{*c->attempt_});
  }

  static void OnRead(bufferevent* stream, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    evbuffer* input = bufferevent_get_input(stream);
    const std::size_t size = evbuffer_get_length(input);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    if (c->attempt_ && c->received_.size() <= kMostKept)
      c->received_.append(bytes, size);
    c->Parse(bytes, size);
    evbuffer_drain(input, size);
    // The answer first: what follows its last line in the same read is no part of it, however it is framed.
    if (c->whole_ || c->settled_)
      return c->Settle();
    if (HTTP_PARSER_ERRNO(&c->parser_) != HPE_OK)
      return c->Break(Outcome::kError);
    c->TellProgress();
  }

  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* c = static_cast<Connection*>(arg);
    if ((what & BEV_EVENT_CONNECTED) != 0 && c->attempt_)
      return c->link_->sink_->Post(AttemptConnected{*c->attempt_});
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
      return;
    if ((what & BEV_EVENT_EOF) != 0) {
      c->Parse(nullptr, 0);  // ends an answer framed by the connection's end
      if (c->whole_ && (c->attempt_ || c->probed_))
        return c->Settle();
    }
    if (c->HasLastLine())
      return c->Settle();
    // Broken before the request's last byte was written: it cannot have run.
    c->Break(c->sent_ ? Outcome::kLost : Outcome::kConnectFailed);
  }

  // Tells nobody anything: whoever is told may end this connection, which must not happen inside the parser.
  std::size_t Parse(const char* data, std::size_t size) {
    static const http_parser_settings kSettings = Callbacks();
    return http_parser_execute(&parser_, &kSettings, data, size);
  }

  void TellProgress() {
    WorkerClient* link = link_;
    for (const AttemptProgress& note : std::exchange(notes_, {}))
      link->sink_->Post(note);
  }

  static http_parser_settings Callbacks() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
      Connection& c = Of(p);
      if (!c.value_.empty())
        c.KeepHeader();
      c.field_.append(at, size);
      return (c.header_bytes_ += size) > kMostHeaders ? 1 : 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
      Of(p).value_.append(at, size);
      return (Of(p).header_bytes_ += size) > kMostHeaders ? 1 : 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      Of(p).KeepHeader();
      return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t size) { return Of(p).OnBody(at, size); };
    s.on_message_complete = [](http_parser* p) {
      Of(p).whole_ = true;
      http_parser_pause(p, 1);  // what follows is no part of this answer
      return 0;
    };
    return s;
  }

  void KeepHeader() {
    TrimTrailingSpace(&value_);
    const auto is = [this](const char* name) { return evutil_ascii_strcasecmp(field_.c_str(), name) == 0; };
    if (is("Srv-Load"))
      load_ = DecodeLoad(value_);
    if (is("Srv-Declined"))
      declined_ = value_ == "1";
    field_.clear();
    value_.clear();
  }

  int OnBody(const char* at, std::size_t size) {
    if (settled_)
      return 0;
    std::size_t look = line_.size();  // what came before has no line's end: not to be searched with each byte
    line_.append(at, size);
    if (line_.size() > kMostLine * 2)
      return 1;
    if (probed_ || parser_.status_code != 200)
      return 0;
    std::size_t begin = 0;
    for (std::size_t end; !settled_ && (end = line_.find('\n', look)) != std::string::npos;
         begin = look = end + 1) {
      const std::string_view text(line_.data() + begin, end - begin);
      if (text.find_first_not_of(" \t\r") == std::string_view::npos)
        continue;
      try {
        OnLine(DecodeAttemptLine(text, job_->id));
      } catch (const BadMessage& e) {
        Log(LogLevel::kWarning, "worker_response_invalid", {{"address", address}, {"why", e.what()}});
        return 1;
      }
    }
    line_.erase(0, begin);
    return 0;
  }

  void OnLine(AttemptLine line) {
    using State = AttemptLine::State;
    if (line.state == State::kStarted || line.state == State::kRunning) {
      if (attempt_)
        notes_.push_back({*attempt_, line.state == State::kStarted, line.share});
      return;
    }
    const Outcome outcome = line.state == State::kDone       ? Outcome::kServed
                            : line.state == State::kReturned ? Outcome::kFull
                            : line.state == State::kLost     ? Outcome::kLost
                                                             : Outcome::kError;
    last_ = AttemptEnded{{}, outcome, std::move(line.result), line.load};
    settled_ = true;
  }

  // Once no more comes: whether the last line has come, maybe without its line's end. No part of an object is
  // one itself, so what can be read is whole; what cannot was cut.
  bool HasLastLine() {
    if (settled_ || !attempt_ || parser_.status_code != 200)
      return settled_;
    try {
      OnLine(DecodeAttemptLine(line_, job_->id));
    } catch (const BadMessage&) {
    }
    return settled_;
  }

  // The last line, or all of the answer, has come. The connection is closed before the core hears of it, so
  // that a resend finds room.
  void Settle() {
    AttemptEnded ended;
    if (HasLastLine()) {
      ended = std::move(last_);
    } else if (parser_.status_code == 200) {
      ended.outcome = probed_ ? Outcome::kServed : Outcome::kLost;  // it ended before its last line
    } else {
      const bool never = declined_ && (parser_.status_code == 503 || parser_.status_code == 504);
      ended.outcome = never ? Outcome::kFull : Outcome::kError;
    }
    if (probed_ && parser_.status_code == 200)
      load_ = DecodeLoad(line_);
    if (!HasFigures(ended.report))
      ended.report = load_;
    const auto attempt = std::exchange(attempt_, std::nullopt);
    const auto probed = std::exchange(probed_, std::nullopt);
    const ProbeDone done = std::move(probe_done_);
    const Micros elapsed = SteadyNow() - started_;
    WorkerClient* link = link_;
    notes_.clear();
    if (attempt)
      link->busy_.erase(*attempt);
    link->Remove(this);  // and with it all of this object
    if (probed)
      done(ProbeCompleted{*probed, ended.outcome, elapsed, ended.report});
    if (!attempt)
      return;
    ended.attempt = *attempt;
    link->sink_->Post(std::move(ended));
  }

  static bool HasFigures(const LoadReport& r) {
    return r.cpu_share || r.free_slots || r.in_work || r.waiting;
  }

  void Break(Outcome outcome) {
    AttemptEnded ended{{}, outcome, "", load_};
    const auto attempt = std::exchange(attempt_, std::nullopt);
    const auto probed = std::exchange(probed_, std::nullopt);
    const ProbeDone done = std::move(probe_done_);
    WorkerClient* link = link_;
    if (attempt)
      link->busy_.erase(*attempt);
    link->Remove(this);
    if (probed)
      done(ProbeCompleted{*probed, outcome, 0, {}});
    if (!attempt)
      return;
    ended.attempt = *attempt;
    link->sink_->Post(std::move(ended));
  }

  WorkerClient* link_;
  EventPtr<bufferevent> stream_;
  Timer probe_timer_;
  ProbeDone probe_done_;
  http_parser parser_;
  std::optional<AttemptId> attempt_;
  std::optional<std::string> probed_;
  std::shared_ptr<const Job> job_;  // of the execution
  Micros started_ = 0;
  bool sent_ = false;     // the request's last byte is the kernel's
  bool settled_ = false;  // its last line has come
  bool whole_ = false;    // the answer's framing has ended too
  bool declined_ = false;
  std::size_t header_bytes_ = 0;
  std::string field_, value_, line_;
  std::string received_;  // while it runs, as another process may have to read it again; over kMostKept: cut
  LoadReport load_;
  AttemptEnded last_;
  std::vector<AttemptProgress> notes_;
};

WorkerClient::WorkerClient(event_base* base, Micros dial_timeout, int most_connections, EventSink* sink)
    : base_(base), sink_(sink) {
  ApplySettings(dial_timeout, most_connections);
}

void WorkerClient::ApplySettings(Micros dial_timeout, int most_connections) {
  dial_timeout_ = dial_timeout;
  most_connections_ = static_cast<std::size_t>(most_connections);
}

WorkerClient::~WorkerClient() = default;

std::optional<TransferredAttempt> WorkerClient::PrepareTransfer(AttemptId attempt) const {
  const auto found = busy_.find(attempt);
  if (found == busy_.end())
    return std::nullopt;
  return found->second->Running();
}

void WorkerClient::CompleteTransfer(AttemptId attempt) {
  const auto found = busy_.find(attempt);
  if (found == busy_.end())
    return;
  Connection* connection = found->second;
  busy_.erase(found);
  connection->Abandon();
  Remove(connection);
}

void WorkerClient::ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job,
                                   const TransferredAttempt& running) {
  EventPtr<bufferevent> stream(
      bufferevent_socket_new(base_, running.fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  auto connection = std::make_unique<Connection>(this, running.address, std::move(stream));
  Connection* raw = connection.get();
  connections_.emplace(raw, std::move(connection));
  busy_.emplace(attempt, raw);
  raw->Resume(attempt, std::move(job), running.received);
}

WorkerClient::Connection* WorkerClient::Open(const std::string& address) {
  if (connections_.size() >= most_connections_) {
    Log(LogLevel::kWarning, "worker_connection_limit_reached",
        {{"connections", connections_.size()}, {"address", address}});
    return nullptr;
  }
  const std::optional<Endpoint> to = ParseEndpoint(address);
  if (!to) {
    Log(LogLevel::kWarning, "endpoint_list_invalid",
        {{"why", "addr must be address:port, not '" + address + "'"}});
    return nullptr;
  }
  EventPtr<bufferevent> stream(
      bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (stream == nullptr)
    return nullptr;
  auto connection = std::make_unique<Connection>(this, address, std::move(stream));
  Connection* raw = connection.get();
  if (!raw->Connect(ToSockaddr(*to)))
    return nullptr;
  connections_.emplace(raw, std::move(connection));
  return raw;
}

void WorkerClient::Start(const StartAttempt& start) {
  Connection* connection = Open(start.address);
  if (connection == nullptr) {
    sink_->Post(AttemptEnded{start.attempt, Outcome::kConnectFailed, "", {}});
    return;
  }
  busy_[start.attempt] = connection;
  connection->Run(start.attempt, start.job);
}

void WorkerClient::Send(const SendAttempt& send) {
  const auto found = busy_.find(send.attempt);
  if (found != busy_.end())
    found->second->Send(send.time_left);
}

void WorkerClient::Stop(AttemptId attempt) {
  const auto found = busy_.find(attempt);
  if (found == busy_.end())
    return;
  Connection* connection = found->second;
  busy_.erase(found);
  connection->Abandon();
  Remove(connection);  // closing it is what tells the instance
}

void WorkerClient::Probe(const ProbeWorker& probe) {
  Probe(probe, [this](ProbeCompleted answered) { sink_->Post(std::move(answered)); });
}

void WorkerClient::Probe(const ProbeWorker& probe, ProbeDone done) {
  Connection* connection = Open(probe.address);
  if (connection == nullptr) {
    done(ProbeCompleted{probe.worker, Outcome::kConnectFailed, 0, {}});
    return;
  }
  connection->Probe(
      probe.worker,
      "GET /-/load HTTP/1.1\r\n" + HeaderLine("Host", probe.address) + "Connection: close\r\n\r\n",
      std::move(done));
}

void WorkerClient::Remove(Connection* connection) { connections_.erase(connection); }

}  // namespace aldersill
