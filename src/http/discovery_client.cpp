#include "http/discovery_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "net/json_message.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;
constexpr int kEvhttpTimeoutSeconds = 70;  // longer than the scheduler's timeouts

void SetNoDelay(evhttp_connection* connection) {
  const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const int on = 1;
  if (fd >= 0)
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string_view BodyOf(evhttp_request* request) {
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(body);
  const char* text = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
  return text == nullptr ? std::string_view() : std::string_view(text, size);
}

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, const Endpoint& endpoint,
                                 std::optional<std::uint64_t> known_version, WatchScheduler scheduler,
                                 EventSink* sink, std::unique_ptr<DiscoveryClient> previous)
    : base_(base),
      endpoint_(endpoint),
      sink_(sink),
      scheduler_(scheduler),
      // Polls are sent by a timer, because evhttp still uses the connection during its own callback.
      poll_timer_(base, [this] { SendPoll(); }),
      probe_timer_(base, [this] { probe_.Start(); }),
      probe_(base, endpoint, [this](bool refused) { HandleProbeResult(refused); }),
      version_(known_version) {
  // A previous client without a working watch is dropped in favour of the one before it.
  if (previous != nullptr)
    previous_ = previous->watch_open_ ? std::move(previous) : std::move(previous->previous_);
  if (previous_ != nullptr)
    previous_->Supersede(this);
  for (PollConnection& poll : polls_)
    poll.owner = this;
  Schedule();
}

DiscoveryClient::~DiscoveryClient() {
  // Without this, freeing a connection would report the end of its outstanding poll to this object.
  for (PollConnection& poll : polls_)
    Cancel(&poll, "the watch was stopped");
}

void DiscoveryClient::Supersede(DiscoveryClient* successor) {
  state_ = State::kSuperseded;
  successor_ = successor;
  previous_.reset();
  Schedule();
}

void DiscoveryClient::StartWatching() {
  if (state_ != State::kNotStarted)
    return;
  state_ = State::kWatching;
  Schedule();
}

void DiscoveryClient::ApplySettings(Micros reloaded_at, WatchScheduler::Settings settings,
                                    const PollBackoff& backoff) {
  scheduler_.ApplySettings(settings, backoff);
  scheduler_.Reloaded(reloaded_at, /*rejected=*/false);
  Schedule();
}

void DiscoveryClient::ReloadRejected(Micros reloaded_at) {
  scheduler_.Reloaded(reloaded_at, /*rejected=*/true);
  Schedule();
}

void DiscoveryClient::Schedule() {
  const Micros now = SteadyNow();
  // A superseded client continues its watch as long as it is answered, and retries no failed poll.
  const bool may_poll = state_ == State::kWatching || (superseded() && scheduler_.next_poll_wait() > 0);
  poll_timer_.Clear();
  if (may_poll && scheduler_.next_poll() != WatchScheduler::kNever)
    poll_timer_.Set(std::max<Micros>(0, scheduler_.next_poll() - now));
  probe_timer_.Clear();
  if (superseded() || scheduler_.next_probe() == WatchScheduler::kNever) {
    probe_.Cancel();
  } else if (!probe_.in_progress()) {
    probe_timer_.Set(std::max<Micros>(0, scheduler_.next_probe() - now));
  }
  if (superseded())
    return;
  LogBoundChange();
  sink_->Post(EndpointListLease{scheduler_.valid_until() - now});
}

// ---- Log ----

// Polls of an agent on this machine are logged at level debug: there are several a second.
LogLevel DiscoveryClient::PollLogLevel() const {
  return scheduler_.pushed() ? LogLevel::kDebug : LogLevel::kInfo;
}

void DiscoveryClient::LogPollSent(const PollConnection& poll) const {
  Log(PollLogLevel(), "discovery_poll_sent",
      {{"address", ToText(endpoint_)},
       {"wait_ms", poll.wait / kMillisecond},
       {"delay_ms", (poll.sent_at - last_poll_end_) / kMillisecond},
       {"version", version_ ? std::to_string(*version_) : "none"},
       {"outstanding", OutstandingPolls()}});
}

// The rule that ends the list's validity changes with each poll of a working watch; such changes are not
// logged.
void DiscoveryClient::LogBoundChange() {
  const ListValidity validity = scheduler_.validity();
  const bool of_working_watch =
      validity.bound == ValidityBound::kPollInterval && scheduler_.next_poll_wait() > 0;
  const ValidityBound bound = of_working_watch ? ValidityBound::kOpenWatch : validity.bound;
  if (std::exchange(logged_bound_, bound) == bound)
    return;
  Log(PollLogLevel(), "endpoint_list_bound",
      {{"bound", std::string(NameOf(bound))}, {"valid_ms", (validity.until - SteadyNow()) / kMillisecond}});
}

// ---- Polls ----

std::ptrdiff_t DiscoveryClient::OutstandingPolls() const {
  return std::count_if(polls_.begin(), polls_.end(),
                       [](const PollConnection& poll) { return poll.request != nullptr; });
}

void DiscoveryClient::Cancel(PollConnection* poll, const char* reason) {
  if (poll->request == nullptr)
    return;
  evhttp_cancel_request(std::exchange(poll->request, nullptr));
  Log(PollLogLevel(), "discovery_poll_cancelled",
      {{"why", reason},
       {"wait_ms", poll->wait / kMillisecond},
       {"took_ms", (SteadyNow() - poll->sent_at) / kMillisecond}});
}

// Returns the connection that answered last if it is free, otherwise another free one, otherwise the one with
// the oldest poll.
DiscoveryClient::PollConnection& DiscoveryClient::ChooseConnection() {
  PollConnection* chosen = last_answered_;
  for (PollConnection& other : polls_) {
    if (chosen->request != nullptr && (other.request == nullptr || other.sent_at < chosen->sent_at))
      chosen = &other;
  }
  return *chosen;
}

void DiscoveryClient::LogOverduePoll(Micros now) const {
  const std::ptrdiff_t outstanding = OutstandingPolls();
  if (outstanding == 0)
    return;
  const auto sent_at = [](const PollConnection& poll) { return poll.request != nullptr ? poll.sent_at : 0; };
  const PollConnection& newest = *std::max_element(
      polls_.begin(), polls_.end(),
      [&](const PollConnection& a, const PollConnection& b) { return sent_at(a) < sent_at(b); });
  // Only the first overdue poll is a warning, because a silent agent is polled eight times a second.
  Log(outstanding == 1 ? LogLevel::kWarning : LogLevel::kDebug, "discovery_overdue",
      {{"wait_ms", newest.wait / kMillisecond}, {"took_ms", (now - newest.sent_at) / kMillisecond}});
}

bool DiscoveryClient::OpenConnection(PollConnection* poll) {
  if (poll->connection != nullptr)
    return true;
  poll->connection.reset(evhttp_connection_base_new(base_, nullptr, endpoint_.host.c_str(), endpoint_.port));
  if (poll->connection == nullptr)
    return false;
  evhttp_connection_set_max_body_size(poll->connection.get(), kMaxBodyBytes);
  evhttp_connection_set_retries(poll->connection.get(), 0);
  evhttp_connection_set_timeout(poll->connection.get(), kEvhttpTimeoutSeconds);
  return true;
}

std::string DiscoveryClient::PollPath(Micros wait) const {
  std::string path = "/api/targets";
  if (version_)
    path += "?index=" + std::to_string(*version_) + "&wait=" + std::to_string(wait / kMillisecond);
  return path;
}

void DiscoveryClient::SendPoll() {
  const Micros now = SteadyNow();
  PollConnection& poll = ChooseConnection();
  LogOverduePoll(now);
  Cancel(&poll, "its connection is needed for a new poll");
  poll.wait = scheduler_.next_poll_wait();
  poll.sent_at = now;
  LogPollSent(poll);
  scheduler_.PollSent(now);
  Schedule();
  if (!OpenConnection(&poll))
    return HandleFailure(&poll, "evhttp cannot create a connection");
  poll.request = evhttp_request_new(&DiscoveryClient::OnPollDone, &poll);
  evhttp_add_header(evhttp_request_get_output_headers(poll.request), "Host", ToText(endpoint_).c_str());
  // On failure evhttp frees the request and does not call OnPollDone.
  if (evhttp_make_request(poll.connection.get(), poll.request, EVHTTP_REQ_GET, PollPath(poll.wait).c_str()) !=
      0) {
    poll.request = nullptr;
    HandleFailure(&poll, "evhttp cannot send the request");
  }
}

// ---- Results ----

void DiscoveryClient::OnPollDone(evhttp_request* request, void* arg) {
  auto* poll = static_cast<PollConnection*>(arg);
  if (poll->request == nullptr)
    return;  // cancelled
  poll->request = nullptr;
  poll->owner->HandleResponse(poll, request);
}

void DiscoveryClient::HandleResponse(PollConnection* poll, evhttp_request* request) {
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0)
    return HandleFailure(poll, "no HTTP response: the connection failed or broke");
  if (status != 200)
    return HandleFailure(poll, "answered " + std::to_string(status), true);
  EndpointListMessage message;
  try {
    message = DecodeEndpointList(BodyOf(request));
  } catch (const BadMessage& error) {
    return HandleFailure(poll, error.what(), true);
  }
  if (!message.full && !version_)
    return HandleFailure(poll, "got changes before the first complete list", true);
  ApplyUpdate(poll, std::move(message));
}

EndpointListUpdate::Form DiscoveryClient::FormOf(const EndpointListMessage& message) const {
  using Form = EndpointListUpdate::Form;
  if (message.full)
    return superseded() ? Form::kCached : Form::kSnapshot;
  return superseded() ? Form::kDeltaFromPreviousSource : Form::kDelta;
}

void DiscoveryClient::ApplyUpdate(PollConnection* poll, EndpointListMessage message) {
  last_poll_end_ = SteadyNow();
  Log(PollLogLevel(), "discovery_answered",
      {{"address", ToText(endpoint_)},
       {"wait_ms", poll->wait / kMillisecond},
       {"took_ms", (SteadyNow() - poll->sent_at) / kMillisecond},
       {"full", message.full},
       {"entries", message.workers.size()},
       {"version", message.version}});
  previous_.reset();  // its versions are unrelated, so its updates must not be applied to this list
  version_ = message.version;
  watch_open_ = true;
  for (PollConnection& other : polls_)
    Cancel(&other, "another poll was answered");
  last_answered_ = poll;
  SetNoDelay(poll->connection.get());
  const EndpointListUpdate::Form form = FormOf(message);
  sink_->Post(EndpointListUpdate{form, WorkerEndpoint::Source::kDiscovery, std::move(message.workers)});
  scheduler_.PollAnswered(SteadyNow(), poll->sent_at);
  probe_refused_ = false;
  Schedule();
  if (!superseded())
    return;
  successor_->scheduler_.PreviousSourceAnswered(scheduler_);
  successor_->Schedule();
}

void DiscoveryClient::HandleFailure(PollConnection* poll, std::string_view reason, bool answered_with_error) {
  const Micros now = last_poll_end_ = SteadyNow();
  const bool others_outstanding = OutstandingPolls() > 0;
  scheduler_.PollFailed(now, poll->sent_at, answered_with_error, others_outstanding);
  // The watch at the previous address is expected to break, so that is not a warning.
  Log(superseded() ? LogLevel::kInfo : LogLevel::kWarning,
      superseded() ? "previous_discovery_failed" : "discovery_failed",
      {{"why", std::string(reason)},
       {"wait_ms", poll->wait / kMillisecond},
       {"took_ms", (now - poll->sent_at) / kMillisecond},
       {"valid_ms", (scheduler_.valid_until() - now) / kMillisecond}});
  Schedule();
  if (others_outstanding)
    return;
  watch_open_ = false;
  if (!superseded())
    return sink_->Post(EndpointListWatchFailed{});
  successor_->scheduler_.PreviousSourceFailed();
  successor_->Schedule();
}

void DiscoveryClient::HandleProbeResult(bool refused) {
  const Micros now = SteadyNow();
  const bool refused_before = std::exchange(probe_refused_, refused);
  // Only the first of consecutive refusals is a warning.
  if (refused)
    Log(refused_before ? LogLevel::kDebug : LogLevel::kWarning, "discovery_refused",
        {{"valid_ms", (scheduler_.valid_until() - now) / kMillisecond}});
  else if (refused_before)
    Log(LogLevel::kInfo, "discovery_reachable");
  if (refused)
    scheduler_.ProbeRefused(now);
  else
    scheduler_.ProbeNotRefused(now);
  Schedule();
}

}  // namespace aldersill
