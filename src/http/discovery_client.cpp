#include "http/discovery_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>

#include "endpoint_list/codec.h"
#include "log/log.h"
#include "net/json_message.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

constexpr std::size_t kMostBody = 4 << 20;

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, const Endpoint& endpoint,
                                 std::optional<std::uint64_t> known_version, WatchScheduler clock,
                                 EventSink* sink, std::unique_ptr<DiscoveryClient> left)
    : base_(base),
      endpoint_(endpoint),
      sink_(sink),
      clock_(std::move(clock)),
      probe_(base, endpoint, [this](bool refused) { Probed(refused); }),
      version_(known_version) {
  if (left != nullptr)
    clock_.ContinueFrom(left->clock_);
  // One that has told nothing yet leaves the word to the one before it.
  if (left != nullptr)
    before_ = left->continuing_ ? std::move(left) : std::move(left->before_);
  if (before_ != nullptr)
    before_->Leave(this);
  for (Line& line : lines_)
    line.owner = this;
  // Not from within evhttp's callback, which is not done with the connection yet.
  next_ = std::make_unique<Timer>(base_, [this] { Call(); });
  next_probe_ = std::make_unique<Timer>(base_, [this] { probe_.Start(); });
  Schedule();
}
DiscoveryClient::~DiscoveryClient() {
  // Freeing the connection must not tell of the end of a call that nobody waits for any more.
  for (Line& line : lines_)
    Cancel(&line);
}

void DiscoveryClient::Leave(DiscoveryClient* after) {
  left_ = true;
  after_ = after;
  before_.reset();
  Schedule();
}

void DiscoveryClient::StartWatching() {
  if (!std::exchange(watching_, true))
    Schedule();
}

void DiscoveryClient::Schedule() {
  const Micros now = SteadyNow();
  // One that was left lives while its calls are answered: renewed at once, never repeated.
  const bool renew = clock_.next_poll_wait() > 0;
  next_->Clear();
  if (watching_ && (!left_ || renew) && clock_.next_poll() != WatchScheduler::kNever)
    next_->Set(std::max<Micros>(0, clock_.next_poll() - now));
  next_probe_->Clear();
  if (left_ || clock_.next_probe() == WatchScheduler::kNever) {
    probe_.Close();  // what it would find out is of no use any more
  } else if (!probe_.under_way()) {
    next_probe_->Set(std::max<Micros>(0, clock_.next_probe() - now));
  }
  if (!left_)
    sink_->Post(EndpointListLease{clock_.valid_until() - now});
}

void DiscoveryClient::Probed(bool refused) {
  const Micros now = SteadyNow();
  // Those that follow tell nothing new.
  if (refused)
    Log(std::exchange(refused_, true) ? LogLevel::kDebug : LogLevel::kWarning, "discovery_refused",
        {{"valid_ms", (clock_.valid_until() - now) / kMillisecond}});
  else if (std::exchange(refused_, false))
    Log(LogLevel::kInfo, "discovery_reachable");
  refused ? clock_.ProbeRefused(now) : clock_.ProbeNotRefused(now);
  Schedule();
}

bool DiscoveryClient::AnyOut() const {
  return std::any_of(lines_.begin(), lines_.end(), [](const Line& line) { return line.out != nullptr; });
}

void DiscoveryClient::Cancel(Line* line) {
  if (line->out != nullptr)
    evhttp_cancel_request(std::exchange(line->out, nullptr));
}

void DiscoveryClient::Call() {
  const Micros now = SteadyNow();
  Line* line = last_;
  for (Line& other : lines_) {
    if (line->out != nullptr && (other.out == nullptr || other.called_at < line->called_at))
      line = &other;
  }
  const auto out =
      std::count_if(lines_.begin(), lines_.end(), [](const Line& l) { return l.out != nullptr; });
  if (out > 0) {
    const Line& slow = *std::max_element(lines_.begin(), lines_.end(), [](const Line& a, const Line& b) {
      return (a.out != nullptr ? a.called_at : 0) < (b.out != nullptr ? b.called_at : 0);
    });
    // Those that follow tell nothing new: an agent that is silent is called eight times a second.
    Log(out == 1 ? LogLevel::kWarning : LogLevel::kDebug, "discovery_overdue",
        {{"wait_ms", slow.called_wait / kMillisecond}, {"took_ms", (now - slow.called_at) / kMillisecond}});
  }
  Cancel(line);
  const Micros wait = clock_.next_poll_wait();
  clock_.PollSent(now);
  line->called_at = now;
  line->called_wait = wait;
  Schedule();
  if (line->connection == nullptr) {
    line->connection.reset(
        evhttp_connection_base_new(base_, nullptr, endpoint_.host.c_str(), endpoint_.port));
    if (line->connection == nullptr)
      return Fail(line, "no connection");
    evhttp_connection_set_max_body_size(line->connection.get(), kMostBody);
    evhttp_connection_set_retries(line->connection.get(), 0);
    evhttp_connection_set_timeout(line->connection.get(), 70);  // ours is the shorter one
  }
  evhttp_request* request = evhttp_request_new(&DiscoveryClient::OnDone, line);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    (endpoint_.host + ":" + std::to_string(endpoint_.port)).c_str());
  std::string path = "/api/targets";
  if (version_)
    path += "?index=" + std::to_string(*version_) + "&wait=" + std::to_string(wait / kMillisecond);
  line->out = request;
  // On failure evhttp frees the request and calls nobody.
  if (evhttp_make_request(line->connection.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) {
    line->out = nullptr;
    Fail(line, "cannot connect");
  }
}

void DiscoveryClient::OnDone(evhttp_request* request, void* arg) {
  auto* line = static_cast<Line*>(arg);
  if (line->out == nullptr)
    return;  // cancelled
  line->out = nullptr;
  line->owner->Answered(line, request);
}

void DiscoveryClient::Answered(Line* line, evhttp_request* request) {
  if (request == nullptr || evhttp_request_get_response_code(request) == 0)
    return Fail(line, "connection broke");
  if (evhttp_request_get_response_code(request) != 200)
    return Fail(line, ("answered " + std::to_string(evhttp_request_get_response_code(request))).c_str(),
                true);
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(body);
  const char* text = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
  EndpointListMessage message;
  try {
    message = DecodeEndpointList(std::string_view(text != nullptr ? text : "", size));
  } catch (const BadMessage& e) {
    return Fail(line, e.what(), true);
  }
  // Changes to a list that we do not have.
  if (!message.full && !version_)
    return Fail(line, "changes came before the whole list", true);
  Log(LogLevel::kDebug, "discovery_answered",
      {{"wait_ms", line->called_wait / kMillisecond},
       {"took_ms", (SteadyNow() - line->called_at) / kMillisecond},
       {"full", message.full},
       {"entries", message.workers.size()},
       {"version", message.version}});
  before_.reset();  // whose versions are others: nothing of it may come after this list
  version_ = message.version;
  continuing_ = true;
  for (Line& other : lines_)
    Cancel(&other);
  last_ = line;
  const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(line->connection.get()));
  const int on = 1;
  if (fd >= 0)
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  using Form = EndpointListUpdate::Form;
  const Form form = message.full ? (left_ ? Form::kCached : Form::kSnapshot)
                                 : (left_ ? Form::kDeltaFromPreviousSource : Form::kDelta);
  sink_->Post(EndpointListUpdate{form, WorkerEndpoint::Source::kDiscovery, std::move(message.workers)});
  clock_.PollAnswered(SteadyNow(), line->called_at);
  refused_ = false;
  Schedule();
  if (!left_)
    return;
  after_->clock_.PreviousSourceAnswered(clock_);
  after_->Schedule();
}

void DiscoveryClient::Fail(Line* line, const char* why, bool answered) {
  Log(left_ ? LogLevel::kDebug : LogLevel::kWarning, left_ ? "previous_discovery_failed" : "discovery_failed",
      {{"why", why},
       {"wait_ms", line->called_wait / kMillisecond},
       {"took_ms", (SteadyNow() - line->called_at) / kMillisecond}});
  const bool others_out = AnyOut();
  clock_.PollFailed(SteadyNow(), line->called_at, answered, others_out);
  Schedule();
  if (others_out)
    return;
  continuing_ = false;
  if (!left_)
    return sink_->Post(EndpointListWatchFailed{});
  after_->clock_.PreviousSourceFailed();
  after_->Schedule();
}

}  // namespace aldersill
