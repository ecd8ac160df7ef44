#include "http/client_connection.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

#include "net/peer_state.h"
#include "net/tcp_arrival.h"

namespace aldersill {
namespace {

constexpr Micros kIdleTimeout = 120 * kSecond;
// Limit from the accept, or from the first byte of a later request, to the request's last byte: a peer that
// sends half a request must not keep a descriptor.
constexpr Micros kRequestTimeout = 2'400 * kMillisecond;
// A peer that reads nothing of its response for this long is disconnected.
constexpr timeval kWriteTimeout = {10, 0};
// An error response may be written while the peer still sends. Closing at once would reset the connection and
// lose the response, so the input is read and dropped for this long.
constexpr Micros kLingerTimeout = 3 * kSecond;
// Shorter than kLingerTimeout: no response is at risk, as the client of a connection that is closed between
// requests has its responses, and a client sends a request that crosses the close again.
constexpr Micros kIdleLingerTimeout = 1 * kSecond;
// A new connection is not evicted for this long, as its first request is probably on the way.
constexpr Micros kNewConnectionGrace = 60 * kMillisecond;
// A connection counts as stalled if its request has arrived in part and is not complete after this time.
constexpr Micros kPartialRequestGrace = 500 * kMillisecond;
// A connection counts as stalled if the peer has not read its response after this time.
constexpr Micros kUnreadResponseGrace = kSecond;
// A drain waits this long for the first request of a new connection.
constexpr Micros kNewConnectionDrainGrace = 600 * kMillisecond;
// Delay of a timeout that expires while bytes wait to be read.
constexpr Micros kUnreadBytesRetry = 20 * kMillisecond;
// Retry-After of a request that is rejected because the memory for incomplete requests is used up.
constexpr Micros kOverloadRetryAfter = 500 * kMillisecond;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

std::string RequestIdForLog(const HttpRequest& request) {
  for (const auto& [name, value] : request.headers) {
    if (evutil_ascii_strcasecmp(name.c_str(), "Req-Id") == 0)
      return value;
  }
  return "";
}

const char* NameOf(CloseReason reason) {
  switch (reason) {
    case CloseReason::kClosedByPeer:
      return "closed_by_peer";
    case CloseReason::kConnectionError:
      return "connection_error";
    case CloseReason::kWriteTimeout:
      return "write_timeout";
    case CloseReason::kLingerEnded:
      return "linger_over";
    case CloseReason::kDiscardFailed:
      return "reset_or_too_many_bytes";
    case CloseReason::kIdleTimeout:
      return "idle_timeout";
    case CloseReason::kDrain:
      return "drain";
    case CloseReason::kEvicted:
      return "descriptor_needed";
  }
  return "unknown";
}

ClientConnection::ClientConnection(event_base* base, evutil_socket_t fd, Owner* owner,
                                   const DrainStatus* drain, RequestMemory* memory)
    : owner_(owner),
      drain_(drain),
      memory_(memory),
      stream_(bufferevent_socket_new(base, fd, BEV_OPT_DEFER_CALLBACKS)),
      discarder_(base, [this](InputDiscarder::End end) { HandleDiscardedEnd(end); }),
      timer_(base, [this] { HandleTimeout(); }) {
  bufferevent_setcb(stream_.get(), &ClientConnection::OnRead, &ClientConnection::OnWritten,
                    &ClientConnection::OnEvent, this);
  bufferevent_set_timeouts(stream_.get(), nullptr, &kWriteTimeout);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  timer_.Set(kRequestTimeout);
}

ClientConnection::~ClientConnection() {
  discarder_.Stop();
  const evutil_socket_t fd = bufferevent_getfd(stream_.get());
  // A deferred callback keeps the stream alive after the reset below. Its events must not stay registered on
  // a descriptor that the next connection may get.
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  stream_.reset();
  // libevent would close the descriptor only in the loop's next iteration, and a burst of connections could
  // then exceed the descriptor limit.
  evutil_closesocket(fd);
}

// ---- Eviction, drain and transfer ----

EvictionPriority::Class ClientConnection::EvictionClass(Micros now) const {
  using Class = EvictionPriority::Class;
  if (state_ == State::kLingering)
    return Class::kLingering;
  if (state_ == State::kWriting)
    return now - last_progress_at_ > kUnreadResponseGrace ? Class::kStalled : Class::kNotEvictable;
  if (state_ != State::kReading)
    return Class::kNotEvictable;
  if (reader_.started())
    return now - request_started_at_ > kPartialRequestGrace ? Class::kStalled : Class::kNotEvictable;
  if (now - last_progress_at_ < kNewConnectionGrace)
    return Class::kNotEvictable;
  return requests_read_ > 0 ? Class::kIdle : Class::kSilent;
}

EvictionPriority ClientConnection::PriorityForEviction(Micros now, EvictionPriority lowest) const {
  const EvictionPriority priority{.eviction_class = EvictionClass(now), .since = last_progress_at_};
  if (priority.eviction_class == EvictionPriority::Class::kNotEvictable || priority >= lowest)
    return {};
  // Unread bytes may complete a request, except where all input is discarded.
  return !discarder_.active() && HasUnreadBytes() ? EvictionPriority{} : priority;
}

void ClientConnection::AnswerBeforeEviction() {
  if (state_ != State::kReading || !reader_.started())
    return;
  owner_->HandleRejection(503, "incomplete, and its connection was needed",
                          RequestIdForLog(reader_.request()));
  // Written past the stream, which is destroyed before the event loop could write its output. Not written if
  // the stream has output of its own, which comes first.
  if (evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0)
    return;
  const std::string text =
      Serialize(RejectionResponse(kOverloadRetryAfter), {.close = true, .omit_body = head_only_});
  static_cast<void>(send(bufferevent_getfd(stream_.get()), text.data(), text.size(), MSG_NOSIGNAL));
}

bool ClientConnection::IsIdle() const {
  // A new connection is probably about to send its first request, whether it was accepted after SIGTERM or
  // shortly before. It is closed after the response to that request.
  const Micros now = SteadyNow();
  if (requests_read_ == 0 && now - last_progress_at_ < kNewConnectionDrainGrace && !drain_->answers_due())
    return false;
  return state_ == State::kReading && !reader_.started() && !HasUnreadBytes();
}

bool ClientConnection::HasPartialRequest() const {
  return state_ == State::kReading && reader_.started() && !HasUnreadBytes();
}

void ClientConnection::CloseBetweenRequests(CloseReason reason) { Linger(kIdleLingerTimeout, reason); }

void ClientConnection::RejectPartialRequest() { Reject(408, "the request has not come whole in time"); }

std::optional<TransferredConnection> ClientConnection::PrepareTransfer() const {
  if (state_ != State::kAwaitingAnswer || discarder_.active() || HasUnreadBytes() || PeerHasClosed())
    return std::nullopt;
  return TransferredConnection{.fd = bufferevent_getfd(stream_.get()),
                               .keep_alive = keep_alive_ && !close_after_response_,
                               .head_only = head_only_};
}

void ClientConnection::ReceiveTransfer(std::uint64_t client, const TransferredConnection& transferred) {
  timer_.Clear();
  ++requests_read_;
  keep_alive_ = transferred.keep_alive;
  head_only_ = transferred.head_only;
  AwaitAnswer(client);
}

bool ClientConnection::PeerHasClosed() const {
  return aldersill::PeerHasClosed(bufferevent_getfd(stream_.get()));
}

bool ClientConnection::HasUnreadBytes() const {
  int unread = 0;
  return evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0 ||
         (ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &unread) == 0 && unread > 0);
}

// ---- Events of the stream and the timer ----

void ClientConnection::OnRead(bufferevent*, void* self) {
  auto* connection = static_cast<ClientConnection*>(self);
  connection->RecordArrival();
  if (connection->state_ == State::kReading)
    connection->Read();
  else
    connection->BufferNextRequest();
}

void ClientConnection::OnWritten(bufferevent* stream, void* self) {
  auto* connection = static_cast<ClientConnection*>(self);
  if (evbuffer_get_length(bufferevent_get_output(stream)) > 0)
    return;
  if (connection->state_ == State::kWriting)
    connection->HandleResponseWritten();
}

void ClientConnection::OnEvent(bufferevent*, short what, void* self) {
  static_cast<ClientConnection*>(self)->HandleStreamEvent(what);
}

void ClientConnection::HandleStreamEvent(short what) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0)
    return;
  // A peer that has closed only its sending side can still read the response that is being written.
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0 && state_ == State::kWriting) {
    close_after_response_ = true;
    return;
  }
  CloseReason reason = CloseReason::kClosedByPeer;
  if ((what & BEV_EVENT_ERROR) != 0)
    reason = CloseReason::kConnectionError;
  else if ((what & BEV_EVENT_TIMEOUT) != 0)
    reason = CloseReason::kWriteTimeout;
  owner_->RemoveConnection(this, reason);
}

void ClientConnection::HandleTimeout() {
  if (state_ == State::kLingering)
    return owner_->RemoveConnection(this, linger_reason_);
  if (state_ != State::kReading)
    return;
  // Bytes that arrived before the timeout was handled are read first.
  if (HasUnreadBytes())
    return timer_.Set(kUnreadBytesRetry);
  if (reader_.started())
    RejectPartialRequest();
  else
    CloseBetweenRequests(CloseReason::kIdleTimeout);
}

// ---- Reading requests ----

void ClientConnection::RecordArrival() {
  last_byte_at_ = SteadyNow() - TimeSinceLastReceive(bufferevent_getfd(stream_.get()));
}

void ClientConnection::Read() {
  evbuffer* input = bufferevent_get_input(stream_.get());
  while (state_ == State::kReading) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    if (size == 0)
      return;
    // The timeout counts from a request's first byte and is not renewed by later ones.
    if (!reader_.started()) {
      request_started_at_ = SteadyNow();
      if (requests_read_ > 0)
        timer_.Set(kRequestTimeout);
    }
    try {
      ReadRequestBytes(size);
    } catch (const BadRequest& error) {
      return Reject(error.http_status, error.what());
    }
  }
  BufferNextRequest();
}

// Throws BadRequest if the request is malformed or there is no memory for it.
void ClientConnection::ReadRequestBytes(std::size_t size) {
  evbuffer* input = bufferevent_get_input(stream_.get());
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
  evbuffer_drain(input, reader_.Read({bytes, size}));
  if (!memory_.Resize(reader_.complete() ? 0 : reader_.buffered_bytes()))
    throw BadRequest(503, "no room for so large a request now");
  if (reader_.TakeExpectContinue())
    bufferevent_write(stream_.get(), kContinue.data(), kContinue.size());
  if (reader_.complete())
    HandleCompleteRequest();
}

// Requests are handled one at a time: bytes that arrive after the request in flight are buffered, up to the
// size of one request. Beyond that limit the input is discarded, and the connection ends after the response.
// Reading does not stop at the limit: otherwise a client that sends more and then disconnects would not be
// noticed, and its job would still be forwarded.
void ClientConnection::BufferNextRequest() {
  const std::size_t size = evbuffer_get_length(bufferevent_get_input(stream_.get()));
  if (memory_.Resize(size) && size <= RequestReader::kMaxRequestBytes)
    return;
  close_after_response_ = true;
  DiscardInput();
}

void ClientConnection::HandleCompleteRequest() {
  timer_.Clear();
  ++requests_read_;
  keep_alive_ = reader_.keep_alive();
  HttpRequest request = std::move(reader_.request());
  head_only_ = request.method == "HEAD";
  owner_->HandleRequest(this, std::move(request));
}

void ClientConnection::AwaitAnswer(std::uint64_t client) {
  state_ = State::kAwaitingAnswer;
  client_ = client;
}

// ---- Writing responses ----

// Responds with an error and ends the connection: the start of the next request in the input is unknown.
void ClientConnection::Reject(int status, const std::string& reason) {
  keep_alive_ = false;
  DiscardInput();
  owner_->HandleRejection(status, reason, RequestIdForLog(reader_.request()));
  Respond({.status = status,
           .body = reason + "\n",
           .headers = status == 503 ? RetryAfterHeader(kOverloadRetryAfter) : ""});
}

void ClientConnection::Respond(const HttpResponse& response) {
  client_ = 0;
  state_ = State::kWriting;
  last_progress_at_ = SteadyNow();
  close_after_response_ = close_after_response_ || !keep_alive_ || drain_->draining();
  const std::string text = Serialize(response, {.close = close_after_response_, .omit_body = head_only_});
  bufferevent_write(stream_.get(), text.data(), text.size());
}

void ClientConnection::HandleResponseWritten() {
  last_progress_at_ = SteadyNow();
  if (close_after_response_)
    return Linger(kLingerTimeout, CloseReason::kLingerEnded);
  state_ = State::kReading;
  reader_.Reset();
  timer_.Set(kIdleTimeout);
  Read();  // reads the bytes that were buffered during the last request
}

void ClientConnection::Linger(Micros timeout, CloseReason reason) {
  state_ = State::kLingering;
  linger_reason_ = reason;
  bufferevent_disable(stream_.get(), EV_WRITE);
  shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
  timer_.Set(timeout);
  if (!discarder_.active())
    DiscardInput();
}

void ClientConnection::DiscardInput() {
  bufferevent_disable(stream_.get(), EV_READ);
  evbuffer* input = bufferevent_get_input(stream_.get());
  evbuffer_drain(input, evbuffer_get_length(input));
  memory_.Resize(0);
  discarder_.Start(bufferevent_getfd(stream_.get()));
}

void ClientConnection::HandleDiscardedEnd(InputDiscarder::End end) {
  // A peer that has closed only its sending side can still read the response that is being written.
  if (end == InputDiscarder::End::kClosedByPeer && state_ == State::kWriting)
    return discarder_.Stop();
  if (end == InputDiscarder::End::kFailed)
    return owner_->RemoveConnection(this, CloseReason::kDiscardFailed);
  owner_->RemoveConnection(this, state_ == State::kLingering ? linger_reason_ : CloseReason::kClosedByPeer);
}

}  // namespace aldersill
