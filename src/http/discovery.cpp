#include "http/discovery.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>

#include "log/log.h"
#include "name_table/codec.h"
#include "net/json_message.h"

namespace aldersill {
namespace {

// A call waits this long for news. Short, as a discovery that has gone silent is noticed only after it, and
// what it has to tell counts as told 2 s after the wait.
constexpr Micros kWait = 2 * kSecond;
// What it may take beyond its wait: news counts as told 2 s after that, whether it came or not.
constexpr Micros kPatience = kSecond;
// What a call that begins a watch may take. Discovery lets it wait for its turn for seconds, and works on it
// even when we have given up: one given up early is made anew, and adds to the queue that it waited in.
constexpr Micros kBeginPatience = 4 * kSecond;
constexpr std::size_t kMostBody = 4 << 20;

}  // namespace

Discovery::Discovery(event_base* base, const Endpoint& endpoint, std::optional<std::uint64_t> known_version,
                     CallPacing pacing, EventSink* sink, std::unique_ptr<Discovery> left)
    : base_(base), endpoint_(endpoint), sink_(sink), pacing_(std::move(pacing)), version_(known_version) {
  // One that has told nothing yet leaves the word to the one before it.
  if (left != nullptr) before_ = left->continuing_ ? std::move(left) : std::move(left->before_);
  if (before_ != nullptr) before_->Leave();
  call_from_ = SteadyNow() + pacing_.BeforeFirst();
  overdue_ = std::make_unique<Timer>(base_, [this] {
    if (out_ != nullptr) evhttp_cancel_request(std::exchange(out_, nullptr));
    Fail("call overdue");
  });
  // Not from within evhttp's callback, which is not done with the connection yet.
  renew_ = std::make_unique<Timer>(base_, [this] { Call(kWait); });
  begin_ = std::make_unique<Timer>(base_, [this] { Call(0); });  // what was missed comes at once
}
Discovery::~Discovery() {
  // Freeing the connection must not tell of the end of a call that nobody waits for any more.
  if (out_ != nullptr) evhttp_cancel_request(std::exchange(out_, nullptr));
}

void Discovery::Leave() {
  left_ = true;
  before_.reset();
  begin_->Clear();
}

void Discovery::Watch() {
  if (std::exchange(watching_, true)) return;
  begin_->Set(std::max<Micros>(0, call_from_ - SteadyNow()));
}

void Discovery::Call(Micros wait) {
  called_at_ = SteadyNow();
  called_wait_ = wait;
  if (connection_ == nullptr) {
    connection_.reset(evhttp_connection_base_new(base_, nullptr, endpoint_.host.c_str(), endpoint_.port));
    if (connection_ == nullptr) return Fail("no connection");
    evhttp_connection_set_max_body_size(connection_.get(), kMostBody);
    evhttp_connection_set_retries(connection_.get(), 0);
    evhttp_connection_set_timeout(connection_.get(), 70);  // ours is the shorter one
  }
  evhttp_request* request = evhttp_request_new(&Discovery::OnDone, this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    (endpoint_.host + ":" + std::to_string(endpoint_.port)).c_str());
  std::string path = "/api/targets";
  if (version_)
    path += "?index=" + std::to_string(*version_) + "&wait=" + std::to_string(wait / kMillisecond);
  out_ = request;
  overdue_->Set(wait + (wait > 0 ? kPatience : kBeginPatience));
  // On failure evhttp frees the request and calls nobody.
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) {
    out_ = nullptr;
    Fail("cannot connect");
  }
}

void Discovery::OnDone(evhttp_request* request, void* arg) {
  auto* self = static_cast<Discovery*>(arg);
  if (self->out_ == nullptr) return;  // failed already
  self->out_ = nullptr;
  self->overdue_->Clear();
  self->Answered(request);
}

void Discovery::Answered(evhttp_request* request) {
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) return Fail("connection broke");
  if (evhttp_request_get_response_code(request) != 200)
    return Fail(("answered " + std::to_string(evhttp_request_get_response_code(request))).c_str());
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(body);
  const char* text = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
  NameTableMessage message;
  try {
    message = DecodeNameTable(std::string_view(text != nullptr ? text : "", size));
  } catch (const BadMessage& e) {
    return Fail(e.what());
  }
  // Changes to a list that we do not have.
  if (!message.full && !version_) return Fail("changes came before the whole list");
  Log(LogLevel::kDebug, "discovery_answered",
      {{"wait_ms", called_wait_ / kMillisecond},
       {"took_ms", (SteadyNow() - called_at_) / kMillisecond},
       {"whole", message.full},
       {"entries", message.instances.size()},
       {"version", message.version}});
  before_.reset();  // whose versions are others: nothing of it may come after this list
  version_ = message.version;
  pacing_.Succeeded();
  continuing_ = true;
  const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
  const int on = 1;
  if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  renew_->Set(0);  // within 200 ms, or it would be a new watch
  using Form = NameTableNews::Form;
  const Form form = message.full ? (left_ ? Form::kRemembered : Form::kWhole)
                                 : (left_ ? Form::kLeftChanges : Form::kChanges);
  sink_->Tell(NameTableNews{form, Instance::Source::kDiscovery, std::move(message.instances)});
}

void Discovery::Fail(const char* why) {
  Log(left_ ? LogLevel::kDebug : LogLevel::kWarning, left_ ? "discovery_left" : "discovery_failed",
      {{"why", why},
       {"wait_ms", called_wait_ / kMillisecond},
       {"took_ms", (SteadyNow() - called_at_) / kMillisecond}});
  overdue_->Clear();
  renew_->Clear();
  watching_ = false;
  if (left_) return;
  // A watch that was on broke for all dispatchers together, as when discovery restarts.
  call_from_ =
      SteadyNow() + (std::exchange(continuing_, false) ? pacing_.BeforeFirst() : pacing_.AfterFailure());
  sink_->Tell(NameTableFailed{});
}

}  // namespace aldersill
