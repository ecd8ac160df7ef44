#include "http/client_front.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <vector>

#include "core/text.h"
#include "http/codec.h"
#include "log/log.h"

namespace aldersill {
namespace {

constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostHeaders = 16 * 1024;
constexpr int kIdleSeconds = 120;
constexpr Micros kNewcomerGrace = 600 * kMillisecond;
constexpr Micros kPruneEvery = 50 * kMillisecond;

std::string Header(evhttp_request* request, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value != nullptr ? value : "";
}

Job DecodeJob(evhttp_request* request, const std::unordered_set<std::string>& classes) {
  Job job;
  job.id = Header(request, "Req-Id");
  job.klass = Header(request, "Req-Kind");
  job.tenant = Header(request, "Req-Owner");
  job.idempotency_key = Header(request, "Idempotency-Key");
  job.target = evhttp_request_get_uri(request);
  job.content_type = Header(request, "Content-Type");
  job.is_retry = Header(request, "Req-Retry") == "1";
  if (job.id.empty()) throw BadMessage("Req-Id is missing");
  if (job.target.empty() || job.target.front() != '/') throw BadMessage("the path must begin with /");
  const std::string path = job.target.substr(0, job.target.find('?'));
  const std::string first = path.substr(1, path.find('/', 1) - 1);
  if (job.klass.empty()) job.klass = first;
  if (!classes.contains(job.klass)) throw BadMessage("Req-Kind names no class");
  if (first != job.klass) throw BadMessage("Req-Kind is not the path's first part");
  job.time_left = DecodeDeadline(Header(request, "Req-Deadline"));
  job.subject = DecodeSubject(path, job.klass);
  DecodeExtras(Header(request, "Req-Extra"), &job);
  if (const std::string cost = Header(request, "Req-Cost"); !cost.empty()) job.work = DecodeDeadline(cost);
  evbuffer* body = evhttp_request_get_input_buffer(request);
  job.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, job.body.data(), job.body.size());
  return job;
}

}  // namespace

struct ClientFront::Held {
  ClientFront* front = nullptr;
  std::uint64_t client = 0;
  evhttp_request* request = nullptr;
  evhttp_connection* connection = nullptr;
  EventPtr<event>
      peer_closed;  // evhttp reads nothing while a request is held: this notices a client that goes
};

ClientFront::ClientFront(event_base* base, const Endpoint& listen, std::unordered_set<std::string> classes,
                         int most_connections, EventSink* sink)
    : base_(base),
      classes_(std::move(classes)),
      most_connections_(static_cast<std::size_t>(most_connections)),
      sink_(sink),
      server_(evhttp_new(base)) {
  evhttp_set_allowed_methods(
      server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  evhttp_set_max_body_size(server_.get(), kMostBody);
  evhttp_set_max_headers_size(server_.get(), kMostHeaders);
  evhttp_set_timeout(server_.get(), kIdleSeconds);
  evhttp_set_bevcb(server_.get(), &ClientFront::OnAccept, this);
  evhttp_set_gencb(server_.get(), &ClientFront::OnRequest, this);
  listener_ = ListenOn(base, listen, "listen", nullptr, nullptr).release();
  bound_ = evhttp_bind_listener(server_.get(), listener_);
  prune_timer_ = std::make_unique<Timer>(base_, [this] {
    Prune();
    if (draining_) CloseIdle();
    if (connections_.size() < most_connections_) evconnlistener_enable(listener_);
    if (draining_ || connections_.size() >= most_connections_) prune_timer_->Set(kPruneEvery);
  });
}

ClientFront::~ClientFront() {
  for (auto& [client, held] : held_) evhttp_connection_set_closecb(held->connection, nullptr, nullptr);
  held_.clear();
  server_.reset();
  for (const Connection& c : connections_) bufferevent_decref(c.stream);
}

void ClientFront::Adopt(std::unordered_set<std::string> classes, int most_connections,
                        EventPtr<evconnlistener> listener) {
  classes_ = std::move(classes);
  most_connections_ = static_cast<std::size_t>(most_connections);
  if (listener == nullptr) return;
  evhttp_del_accept_socket(server_.get(), bound_);
  listener_ = listener.release();
  bound_ = evhttp_bind_listener(server_.get(), listener_);
}

int ClientFront::port() const { return PortOf(evconnlistener_get_fd(listener_)); }

bufferevent* ClientFront::OnAccept(event_base* base, void* self) {
  auto* front = static_cast<ClientFront*>(self);
  // Without BEV_OPT_CLOSE_ON_FREE evhttp closes the socket as it lets go, whatever references are left.
  bufferevent* connection = bufferevent_socket_new(base, -1, 0);
  if (connection == nullptr) return nullptr;
  bufferevent_incref(connection);
  front->Prune();
  front->last_accept_ = SteadyNow();
  front->connections_.push_back({connection, front->last_accept_});
  if (front->connections_.size() >= front->most_connections_) {
    // The rest waits in the listen queue: instance links need the other descriptors.
    evconnlistener_disable(front->listener_);
    front->prune_timer_->Set(kPruneEvery);
    Log("%zu client connections: accepting no more for now", front->connections_.size());
  }
  return connection;
}

void ClientFront::Prune() {
  for (auto at = connections_.begin(); at != connections_.end();) {
    // evhttp has no read callback while it writes an answer; the event callback goes only as it lets go.
    bufferevent_event_cb event = nullptr;
    bufferevent_getcb(at->stream, nullptr, nullptr, &event, nullptr);
    if (event != nullptr) {
      ++at;
      continue;
    }
    bufferevent_decref(at->stream);
    at = connections_.erase(at);
  }
}

void ClientFront::OnRequest(evhttp_request* request, void* self) {
  static_cast<ClientFront*>(self)->Take(request);
}

void ClientFront::Take(evhttp_request* request) {
  const std::string path = evhttp_request_get_uri(request);
  if (path == "/-/ready" && evhttp_request_get_command(request) == EVHTTP_REQ_GET)
    return Send(request, 200, "OK", "ready\n");
  Job job;
  try {
    if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
      evhttp_add_header(evhttp_request_get_output_headers(request), "Allow", "POST");
      return Send(request, 405, "Method Not Allowed", "jobs come by POST\n");
    }
    job = DecodeJob(request, classes_);
  } catch (const BadMessage& e) {
    return Send(request, 400, "Bad Request", std::string(e.what()) + "\n");
  }
  const std::uint64_t client = next_++;
  auto held = std::make_unique<Held>();
  evhttp_connection* connection = evhttp_request_get_connection(request);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  held->front = this;
  held->client = client;
  held->request = request;
  held->connection = connection;
  held->peer_closed.reset(
      event_new(base_, bufferevent_getfd(bev), EV_CLOSED, &ClientFront::OnPeerClosed, held.get()));
  event_add(held->peer_closed.get(), nullptr);
  evhttp_connection_set_closecb(connection, &ClientFront::OnClosed, held.get());
  held_on_[bev] = client;
  held_.emplace(client, std::move(held));
  sink_->Tell(RequestTaken{{ClientRef::Front::kHttp, client}, std::move(job)});
}

void ClientFront::OnPeerClosed(evutil_socket_t, short, void* arg) {
  auto* held = static_cast<Held*>(arg);
  // Frees the request as well and calls OnClosed.
  evhttp_connection_free(held->connection);
}

void ClientFront::OnClosed(evhttp_connection*, void* arg) {
  auto* held = static_cast<Held*>(arg);
  ClientFront* front = held->front;
  const std::uint64_t client = held->client;
  front->Release(client);
  front->sink_->Tell(ClientLeft{{ClientRef::Front::kHttp, client}});
}

void ClientFront::Release(std::uint64_t client) {
  const auto found = held_.find(client);
  evhttp_connection* connection = found->second->connection;
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  held_on_.erase(evhttp_connection_get_bufferevent(connection));
  held_.erase(found);
}

void ClientFront::Reply(std::uint64_t client, const FinalAnswer& answer) {
  const auto found = held_.find(client);
  if (found == held_.end()) return;
  evhttp_request* request = found->second->request;
  Release(client);
  if (const auto* served = std::get_if<Served>(&answer)) return Send(request, 200, "OK", served->result);
  if (const auto* nack = std::get_if<Nack>(&answer)) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After",
                      DecimalSeconds(nack->retry_after).c_str());
    return Send(request, 503, "Service Unavailable", "refused: trying again is harmless\n");
  }
  switch (std::get<Failure>(answer).why) {
    case Failure::Why::kTooLate:
      return Send(request, 504, "Gateway Timeout", "no answer in time: it may have run\n");
    case Failure::Why::kRepeat:
      return Send(request, 409, "Conflict", "a repeat that its class forbids\n");
    case Failure::Why::kFailed:
      return Send(request, 502, "Bad Gateway", "failed: it may have run\n");
  }
}

void ClientFront::Send(evhttp_request* request, int code, const char* reason, const std::string& body) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  if (draining_) evhttp_add_header(headers, "Connection", "close");
  // evhttp's own default is HTML, which neither a result nor an error text is.
  evhttp_add_header(headers, "Content-Type", "text/plain; charset=utf-8");
  evbuffer* content = evhttp_request_get_output_buffer(request);
  evbuffer_add(content, body.data(), body.size());
  evhttp_send_reply(request, code, reason, nullptr);
}

void ClientFront::BeginDrain() {
  if (std::exchange(draining_, true)) return;
  drain_began_ = last_accept_ = SteadyNow();
  CloseIdle();
  prune_timer_->Set(kPruneEvery);
}

void ClientFront::CloseIdle() {
  Prune();
  const Micros now = SteadyNow();
  for (const auto& [connection, accepted] : connections_) {
    // One that came after the signal is about to send its request; it is closed with its answer.
    if (accepted >= drain_began_ && now - accepted < kNewcomerGrace) continue;
    const evutil_socket_t fd = bufferevent_getfd(connection);
    int unread = 0;
    const bool idle = fd >= 0 && !held_on_.contains(connection) &&
                      evbuffer_get_length(bufferevent_get_input(connection)) == 0 &&
                      evbuffer_get_length(bufferevent_get_output(connection)) == 0 &&
                      ioctl(fd, FIONREAD, &unread) == 0 && unread == 0;
    // evhttp reads the end of the stream and lets go. One whose request is on its way sends it again
    // elsewhere.
    if (idle) shutdown(fd, SHUT_RDWR);
  }
}

bool ClientFront::Quiet() {
  Prune();
  return held_.empty() && connections_.empty();
}

Micros ClientFront::SinceLastAccept() const { return SteadyNow() - last_accept_; }

}  // namespace aldersill
