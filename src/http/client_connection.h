// One connection of a service client: reads requests one after another and writes one response to each.
#ifndef ALDERSILL_SRC_HTTP_CLIENT_CONNECTION_H_
#define ALDERSILL_SRC_HTTP_CLIENT_CONNECTION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/types.h"
#include "http/drain_schedule.h"
#include "http/http_response.h"
#include "http/input_discarder.h"
#include "http/request_memory.h"
#include "http/request_reader.h"
#include "net/event_ptr.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {

// A connection whose request is in flight, as it moves from one process to another.
struct TransferredConnection {
  evutil_socket_t fd = -1;
  bool keep_alive = false;  // after the response
  bool head_only = false;   // the response goes without its body
};

enum class CloseReason {
  kClosedByPeer,
  kConnectionError,  // the peer reset it, or the kernel gave it up
  kWriteTimeout,     // the peer does not read its response
  kLingerOver,       // the response is written, or the pause has ended, and the peer does not close
  kDiscardFailed,    // the peer reset it, or sends without end
  kIdleTimeout,
  kDrain,
  kEvicted,  // its descriptor is needed
};
// For logs.
const char* NameOf(CloseReason reason);

// Which connection is closed first when a new one needs its descriptor: the lowest priority value.
struct EvictionPriority {
  enum class Class { kLingering, kSilent, kIdle, kStalled, kNotEvictable };
  Class eviction_class = Class::kNotEvictable;
  Micros since = 0;
  auto operator<=>(const EvictionPriority&) const = default;
};

class ClientConnection {
 public:
  // The frontend, which owns its connections.
  class Owner {
   public:
    // A complete request. Exactly one of Respond and AwaitAnswer is called on the connection before it
    // returns.
    virtual void HandleRequest(ClientConnection* connection, HttpRequest request) = 0;
    // The connection answers this request itself, with an error. `request_id`: empty if it had none.
    virtual void HandleRejection(int status, const std::string& reason, const std::string& request_id) = 0;
    // The connection has ended: destroys it.
    virtual void RemoveConnection(ClientConnection* connection, CloseReason reason) = 0;

   protected:
    ~Owner() = default;
  };

  // Takes ownership of `fd`. All pointers must outlive the connection.
  ClientConnection(event_base* base, evutil_socket_t fd, Owner* owner, const DrainSchedule* drain,
                   RequestMemory* memory);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void Respond(const HttpResponse& response);
  // The request in flight gets its response later; `client` is its number at the frontend.
  void AwaitAnswer(std::uint64_t client);
  std::uint64_t client() const { return client_; }  // 0 without a request in flight
  // How long the complete request has waited to be read, in the listen queue, behind another request or while
  // the process was held up. Its client's time counts from its last byte.
  Micros TimeSinceArrival() const { return SteadyNow() - last_byte_at_; }

  // Whether the peer has closed or reset the connection, as far as the kernel knows. Unread bytes before the
  // end hide it; they are read at once.
  bool PeerHasClosed() const;

  // What another process needs to respond to the request in flight; nothing if bytes behind it would be lost.
  std::optional<TransferredConnection> PrepareTransfer() const;
  // Continues with the request that another process has read.
  void ReceiveTransfer(std::uint64_t client, const TransferredConnection& transferred);

  // The kernel is asked for unread bytes only if the connection could be evicted before `lowest`.
  EvictionPriority PriorityForEviction(Micros now, EvictionPriority lowest) const;

  // Whether a drain may close it between requests.
  bool IsIdle() const;
  // A request has arrived in part, and nothing of it waits to be read.
  bool HasPartialRequest() const;
  // The response is written; only the peer's close is missing.
  bool IsLingering() const { return state_ == State::kLingering; }
  // Ends the connection between requests. The sending side is closed first: a request that crosses the close
  // is read and dropped, never forwarded, and resets nothing that the client has yet to read.
  void CloseBetweenRequests(CloseReason reason);
  // Responds 408 to a partial request.
  void RejectPartialRequest();

 private:
  enum class State {
    kReading,         // a request, or the pause before it
    kAwaitingAnswer,  // a request is in flight
    kWriting,         // its response
    kLingering,       // the response is written and the sending side closed; drops what still arrives
  };

  static void OnRead(bufferevent* stream, void* self);
  static void OnWritten(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  void HandleStreamEvent(short what);
  void HandleTimeout();
  void HandleDiscardedEnd(InputDiscarder::End end);

  bool HasUnreadBytes() const;
  void RecordArrival();
  void Read();
  void ReadRequestBytes(std::size_t size);
  void BufferNextRequest();
  void HandleCompleteRequest();
  void Reject(int status, const std::string& reason);
  void HandleResponseWritten();
  void Linger(Micros timeout, CloseReason reason);
  void DiscardInput();

  Owner* owner_;
  const DrainSchedule* drain_;
  RequestMemory::Reservation memory_;
  EventPtr<bufferevent> stream_;
  InputDiscarder discarder_;
  Timer timer_;
  RequestReader reader_;
  State state_ = State::kReading;
  Micros since_ = SteadyNow();     // accepted, or last response begun or written
  Micros request_started_at_ = 0;  // its first byte was read
  Micros last_byte_at_ = 0;        // of what was read or buffered, arrived
  std::uint64_t client_ = 0;
  std::uint64_t requests_ = 0;  // complete ones so far
  bool keep_alive_ = false;
  bool close_after_response_ = false;  // this one, or the next
  bool head_only_ = false;
  CloseReason linger_reason_ = CloseReason::kLingerOver;
};

// The first Req-Id of a request that may be invalid, for the log; empty if it has none.
std::string RequestIdForLog(const HttpRequest& request);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CLIENT_CONNECTION_H_
