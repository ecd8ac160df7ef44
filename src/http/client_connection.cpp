#include "http/client_connection.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <string_view>
#include <utility>

#include "net/tcp_arrival.h"

namespace aldersill {
namespace {

constexpr Micros kIdleTimeout = 120 * kSecond;
// From the accept, or from the first byte of a later request, to its last one: a peer that sends half a
// request must not keep a descriptor.
constexpr Micros kRequestTimeout = 2'400 * kMillisecond;
// A peer that does not read its response is disconnected.
constexpr timeval kWriteTimeout = {10, 0};
// An error response may be written while the peer still sends. To close at once would reset the connection
// and lose it, so for this long the input is read and dropped.
constexpr Micros kLingerTimeout = 3 * kSecond;
// A connection that is closed between requests has read all of its responses; a request that crosses the
// close is sent again by the client.
constexpr Micros kIdleLingerTimeout = 1 * kSecond;
// The first request of a new connection is on its way; one that arrives in pieces may take a little longer.
constexpr Micros kNewConnectionGrace = 60 * kMillisecond;
constexpr Micros kPartialRequestGrace = 500 * kMillisecond;
constexpr Micros kUnreadResponseGrace = kSecond;
// In a drain: a new connection's request is awaited for this long.
constexpr Micros kNewConnectionDrainGrace = 600 * kMillisecond;
constexpr Micros kUnreadBytesRetry = 20 * kMillisecond;
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
    case CloseReason::kLingerOver:
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
                                   const DrainSchedule* drain, RequestMemory* memory)
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
  // A callback that is still due keeps the stream alive: its events must not stay on a descriptor that the
  // next connection gets.
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
  stream_.reset();
  // libevent's own close waits for the loop's next turn, and a burst of connections would exceed the limit.
  evutil_closesocket(fd);
}

// ---- Eviction, drain and transfer ----

EvictionPriority ClientConnection::PriorityForEviction(Micros now, EvictionPriority lowest) const {
  using Class = EvictionPriority::Class;
  if (state_ == State::kLingering)
    return {.eviction_class = Class::kLingering, .since = since_};
  const bool response_unread = state_ == State::kWriting && now - since_ > kUnreadResponseGrace;
  const bool request_stalled =
      state_ == State::kReading && reader_.started() && now - request_started_at_ > kPartialRequestGrace;
  if (response_unread || request_stalled)
    return {.eviction_class = Class::kStalled, .since = since_};
  if (state_ != State::kReading || reader_.started() || now - since_ < kNewConnectionGrace)
    return {};
  const EvictionPriority quiet{.eviction_class = requests_ > 0 ? Class::kIdle : Class::kSilent,
                               .since = since_};
  if (quiet < lowest && HasUnreadBytes())
    return {};
  return quiet;
}

bool ClientConnection::IsIdle() const {
  // A new connection is about to send its request, whether it was accepted after the signal or right before;
  // it is closed with the response.
  const Micros now = SteadyNow();
  if (requests_ == 0 && now - since_ < kNewConnectionDrainGrace && now < drain_->answers_due_at())
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
  ++requests_;
  keep_alive_ = transferred.keep_alive;
  head_only_ = transferred.head_only;
  AwaitAnswer(client);
}

bool ClientConnection::PeerHasClosed() const {
  char next = 0;
  const ssize_t size = recv(bufferevent_getfd(stream_.get()), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno == ECONNRESET);
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
  // A peer that has closed its sending side only still reads the response that is being written.
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
  // Bytes that arrived in the same moment are read first.
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
      if (requests_ > 0)
        timer_.Set(kRequestTimeout);
    }
    try {
      ReadRequestBytes(size);
    } catch (const BadRequest& error) {
      return Reject(error.code, error.what());
    }
  }
  BufferNextRequest();
}

// Throws BadRequest.
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

// Requests are handled one at a time: bytes behind the request in flight wait, up to the size of one request.
// Reading must not stop at that limit, or the end of a client that sends more and disconnects would go unseen
// and its job be forwarded. So beyond it the input is discarded, and the response ends the connection.
void ClientConnection::BufferNextRequest() {
  const std::size_t size = evbuffer_get_length(bufferevent_get_input(stream_.get()));
  if (memory_.Resize(size) && size <= RequestReader::kMaxRequestBytes)
    return;
  close_after_response_ = true;
  DiscardInput();
}

void ClientConnection::HandleCompleteRequest() {
  timer_.Clear();
  ++requests_;
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

// After an error nothing more can be read from this connection.
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
  since_ = SteadyNow();
  close_after_response_ = close_after_response_ || !keep_alive_ || drain_->draining();
  const std::string text = Serialize(response, {.close = close_after_response_, .omit_body = head_only_});
  bufferevent_write(stream_.get(), text.data(), text.size());
}

void ClientConnection::HandleResponseWritten() {
  since_ = SteadyNow();
  if (close_after_response_)
    return Linger(kLingerTimeout, CloseReason::kLingerOver);
  state_ = State::kReading;
  reader_.Reset();
  timer_.Set(kIdleTimeout);
  Read();  // the bytes that were buffered meanwhile
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
  // A peer that has closed its sending side only still reads the response that is being written.
  if (end == InputDiscarder::End::kClosedByPeer && state_ == State::kWriting)
    return discarder_.Stop();
  if (end == InputDiscarder::End::kBroken)
    return owner_->RemoveConnection(this, CloseReason::kDiscardFailed);
  owner_->RemoveConnection(this, state_ == State::kLingering ? linger_reason_ : CloseReason::kClosedByPeer);
}

}  // namespace aldersill
