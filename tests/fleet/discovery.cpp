#include "fleet/discovery.h"

#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "net/endpoint.h"
#include "net/listener.h"

namespace aldersill::fleet {
namespace {

constexpr std::uint64_t kMaxWatchMs = 60'000;

// Returns the number in the query parameter `name`, or `fallback` if the request has no such parameter.
std::uint64_t QueryNumber(evhttp_request* request, const char* name, std::uint64_t fallback) {
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

void FreeUnownedRequest(evhttp_request* request) {
  if (request != nullptr && evhttp_request_get_connection(request) == nullptr)
    evhttp_request_free(request);
}

StandInDiscovery::StandInDiscovery(event_base* base, bool pushed, nlohmann::json list, std::uint64_t version,
                                   AnnouncedCallback announced)
    : base_(base),
      pushed_(pushed),
      list_(std::move(list)),
      entry_versions_(list_.size(), version),
      version_(version),
      announced_(std::move(announced)),
      server_(evhttp_new(base)) {
  Listen(0);
  evhttp_set_gencb(server_.get(), &StandInDiscovery::OnCall, this);
}

StandInDiscovery::~StandInDiscovery() { server_.reset(); }

void StandInDiscovery::Listen(std::uint16_t port) {
  socket_ = evhttp_bind_socket_with_handle(server_.get(), "127.0.0.1", port);
  if (socket_ == nullptr)
    throw std::runtime_error("stand-in discovery cannot listen on 127.0.0.1:" + std::to_string(port));
  port_ = static_cast<std::uint16_t>(LocalPort(evhttp_bound_socket_get_fd(socket_)));
}

// Keeps the port bound, so that no other process can take it.
void StandInDiscovery::StopListening() {
  evhttp_del_accept_socket(server_.get(), socket_);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  reserved_port_.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  const sockaddr_in here = ToSockaddr({"127.0.0.1", port_});
  if (evutil_make_listen_socket_reuseable(fd) != 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&here), sizeof(here)) != 0)
    throw std::runtime_error("stand-in discovery cannot reserve 127.0.0.1:" + std::to_string(port_));
}

void StandInDiscovery::OnCall(evhttp_request* request, void* arg) {
  auto* self = static_cast<StandInDiscovery*>(arg);
  if (self->AnswersWithError()) {
    evhttp_send_error(request, 503, nullptr);
  } else {
    self->AddCall(request);
  }
}

// In the mode kRefused a call can only arrive on a connection that was idle when the failure began.
bool StandInDiscovery::AnswersWithError() const {
  return (down_ && !pushed_) || failure_mode_ == FailureMode::kErrors ||
         failure_mode_ == FailureMode::kRefused;
}

void StandInDiscovery::AddCall(evhttp_request* request) {
  Call& call = calls_.emplace_back();
  call.discovery = this;
  call.request = request;
  call.full_list = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request)) == nullptr;
  call.since = QueryNumber(request, "index", 0);
  call.ignored = std::exchange(ignore_next_, false) || failure_mode_ == FailureMode::kLosses;
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), &StandInDiscovery::OnConnectionEnd,
                                &call);
  if (call.ignored || down_)
    return;
  const std::uint64_t wait_ms = QueryNumber(request, "wait", 0);
  if (pushed_ || call.full_list || call.since < version_ || wait_ms == 0)
    return Answer(&call);
  call.watch_timeout = std::make_unique<Timer>(base_, [this, &call] { Answer(&call); });
  call.watch_timeout->Set(static_cast<Micros>(std::min(wait_ms, kMaxWatchMs)) * kMillisecond);
}

void StandInDiscovery::OnConnectionEnd(evhttp_connection*, void* arg) {
  auto* call = static_cast<Call*>(arg);
  FreeUnownedRequest(call->request);
  call->discovery->Remove(call);
}

void StandInDiscovery::Remove(Call* call) {
  calls_.remove_if([call](const Call& other) { return &other == call; });
}

// Returns the entries for the answer. A full list omits deleted workers; a list of changes contains them.
nlohmann::json StandInDiscovery::ServersFor(const Call& call) const {
  nlohmann::json servers = nlohmann::json::array();
  for (std::size_t worker = 0; worker < list_.size(); ++worker) {
    const bool listed =
        call.full_list ? list_[worker].at("state") != kDeleted : entry_versions_[worker] > call.since;
    if (listed)
      servers.push_back(list_[worker]);
  }
  return servers;
}

void StandInDiscovery::Announce(const Call& call) const {
  for (std::size_t worker = 0; worker < list_.size(); ++worker) {
    if (call.full_list || entry_versions_[worker] > call.since)
      announced_(static_cast<int>(worker), list_[worker].at("state") == kServing);
  }
}

void StandInDiscovery::Answer(Call* call) {
  Announce(*call);
  const std::string text =
      nlohmann::json{{"version", version_}, {"full", call->full_list}, {"servers", ServersFor(*call)}}.dump();
  evhttp_request* request = call->request;
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
  Remove(call);
  const EventPtr<evbuffer> body(evbuffer_new());
  evbuffer_add(body.get(), text.data(), text.size());
  evhttp_send_reply(request, 200, "OK", body.get());
}

void StandInDiscovery::ChangeWorker(int worker, const std::string& state, std::int64_t started_ms) {
  list_[worker]["state"] = state;
  if (started_ms > 0)
    list_[worker]["started_ms"] = started_ms;
  entry_versions_[worker] = ++version_;
  if (pushed_)
    announced_(worker, state == kServing);
  std::vector<Call*> answerable;
  for (Call& call : calls_) {
    if (!call.ignored)
      answerable.push_back(&call);
  }
  for (Call* call : answerable)
    Answer(call);
}

void StandInDiscovery::Close() {
  if (std::exchange(closed_, true) || failure_mode_ == FailureMode::kRefused)
    return;
  StopListening();
}

void StandInDiscovery::SetDown(bool down) {
  down_ = down;
  if (down && !pushed_)
    ResetCalls();
}

void StandInDiscovery::SetFailureMode(FailureMode mode) {
  const FailureMode previous = std::exchange(failure_mode_, mode);
  if (mode != FailureMode::kNone)
    ResetCalls();
  if (mode == previous || closed_)
    return;
  if (mode == FailureMode::kRefused)
    StopListening();
  if (previous == FailureMode::kRefused) {
    Listen(port_);
    reserved_port_.reset();
  }
}

void StandInDiscovery::ResetCalls() {
  std::vector<evhttp_connection*> open;
  open.reserve(calls_.size());
  for (const Call& call : calls_)
    open.push_back(evhttp_request_get_connection(call.request));
  for (evhttp_connection* connection : open)
    evhttp_connection_free(connection);
}

void StandInDiscovery::IgnorePendingCalls() {
  if (calls_.empty())
    ignore_next_ = true;
  for (Call& call : calls_) {
    call.ignored = true;
    call.watch_timeout.reset();
  }
}

}  // namespace aldersill::fleet
