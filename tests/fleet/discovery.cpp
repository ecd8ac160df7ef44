#include "fleet/discovery.h"

#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace aldersill::fleet {
namespace {

std::uint64_t Parameter(evhttp_request* request, const char* name, std::uint64_t fallback) {
  const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  evkeyvalq pairs{};
  if (query == nullptr || evhttp_parse_query_str(query, &pairs) != 0)
    return fallback;
  const char* value = evhttp_find_header(&pairs, name);
  const std::uint64_t number = value != nullptr ? std::strtoull(value, nullptr, 10) : fallback;
  evhttp_clear_headers(&pairs);
  return number;
}

}  // namespace

void FreeIfLeft(evhttp_request* request) {
  if (request != nullptr && evhttp_request_get_connection(request) == nullptr)
    evhttp_request_free(request);
}

StandInDiscovery::StandInDiscovery(event_base* base, bool pushed, nlohmann::json list, std::uint64_t version,
                                   Told told)
    : base_(base),
      pushed_(pushed),
      list_(std::move(list)),
      changed_(list_.size(), version),
      version_(version),
      told_(std::move(told)),
      http_(evhttp_new(base)) {
  Listen(0);
  evhttp_set_gencb(http_.get(), &StandInDiscovery::OnCall, this);
}

StandInDiscovery::~StandInDiscovery() { http_.reset(); }

void StandInDiscovery::Listen(std::uint16_t port) {
  socket_ = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", port);
  if (socket_ == nullptr)
    throw std::runtime_error("discovery cannot listen");
  port_ = static_cast<std::uint16_t>(PortOf(evhttp_bound_socket_get_fd(socket_)));
}

void StandInDiscovery::OnCall(evhttp_request* request, void* arg) {
  auto* self = static_cast<StandInDiscovery*>(arg);
  // Refused, it has connections left at most on which nothing was asked then.
  if ((self->down_ && !self->pushed_) || self->trouble_ == Trouble::kErrors ||
      self->trouble_ == Trouble::kRefused)
    return evhttp_send_error(request, 503, nullptr);
  Call& call = self->calls_.emplace_back();
  call.discovery = self;
  call.request = request;
  call.whole = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request)) == nullptr;
  call.since = Parameter(request, "index", 0);
  call.silent = std::exchange(self->silence_next_, false) || self->trouble_ == Trouble::kLosses;
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), &StandInDiscovery::OnEnd, &call);
  if (call.silent || self->down_)
    return;
  const std::uint64_t wait_ms = Parameter(request, "wait", 0);
  if (self->pushed_ || call.whole || call.since < self->version_ || wait_ms == 0)
    return self->Answer(&call);
  call.overdue = std::make_unique<Timer>(self->base_, [self, &call] { self->Answer(&call); });
  call.overdue->Set(static_cast<Micros>(std::min<std::uint64_t>(wait_ms, 60'000)) * kMillisecond);
}

void StandInDiscovery::OnEnd(evhttp_connection*, void* arg) {
  auto* call = static_cast<Call*>(arg);
  FreeIfLeft(call->request);
  call->discovery->Remove(call);
}

void StandInDiscovery::Remove(Call* call) {
  calls_.remove_if([call](const Call& c) { return &c == call; });
}

void StandInDiscovery::Answer(Call* call) {
  nlohmann::json servers = nlohmann::json::array();
  for (std::size_t w = 0; w < list_.size(); ++w) {
    const bool gone = list_[w].at("state") == "DELETED";
    if (call->whole ? gone : changed_[w] <= call->since)
      continue;
    servers.push_back(list_[w]);
  }
  for (std::size_t w = 0; w < list_.size(); ++w) {
    if (call->whole || changed_[w] > call->since)
      told_(static_cast<int>(w), list_[w].at("state") == "SERVING");
  }
  const std::string text =
      nlohmann::json{{"version", version_}, {"full", call->whole}, {"servers", servers}}.dump();
  evhttp_request* request = call->request;
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
  Remove(call);
  EventPtr<evbuffer> body(evbuffer_new());
  evbuffer_add(body.get(), text.data(), text.size());
  evhttp_send_reply(request, 200, "OK", body.get());
}

void StandInDiscovery::Change(int worker, const std::string& state, std::int64_t started_ms) {
  list_[worker]["state"] = state;
  if (started_ms > 0)
    list_[worker]["started_ms"] = started_ms;
  changed_[worker] = ++version_;
  if (pushed_)
    told_(worker, state == "SERVING");
  std::vector<Call*> waiting;
  for (Call& call : calls_) {
    if (!call.silent)
      waiting.push_back(&call);
  }
  for (Call* call : waiting)
    Answer(call);
}

void StandInDiscovery::Down(bool down) {
  down_ = down;
  if (down && !pushed_)
    ResetCalls();
}

void StandInDiscovery::Fail(Trouble trouble) {
  const Trouble before = std::exchange(trouble_, trouble);
  if (trouble != Trouble::kNone)
    ResetCalls();
  if (trouble == Trouble::kRefused && before != trouble) {
    evhttp_del_accept_socket(http_.get(), socket_);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    reserved_.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    const sockaddr_in here = ToSockaddr({"127.0.0.1", port_});
    if (evutil_make_listen_socket_reuseable(fd) != 0 ||
        bind(fd, reinterpret_cast<const sockaddr*>(&here), sizeof(here)) != 0)
      throw std::runtime_error("discovery cannot keep its port");
  }
  if (before == Trouble::kRefused && trouble != before) {
    Listen(port_);
    reserved_.reset();
  }
}

void StandInDiscovery::ResetCalls() {
  std::vector<evhttp_connection*> open;
  for (const Call& call : calls_)
    open.push_back(evhttp_request_get_connection(call.request));
  for (evhttp_connection* connection : open)
    evhttp_connection_free(connection);
}

void StandInDiscovery::Silence() {
  if (calls_.empty())
    silence_next_ = true;
  for (Call& call : calls_) {
    call.silent = true;
    call.overdue.reset();
  }
}

}  // namespace aldersill::fleet
