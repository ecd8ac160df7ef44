// One connection of a service client. Reads requests one after another and writes one response to each.
#ifndef ALDERSILL_SRC_HTTP_CLIENT_CONNECTION_H_
#define ALDERSILL_SRC_HTTP_CLIENT_CONNECTION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/drain_schedule.h"
#include "core/types.h"
#include "http/http_response.h"
#include "http/request_reader.h"
#include "net/event_ptr.h"
#include "net/input_discarder.h"
#include "net/request_memory.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill {

// A connection with a request in flight that one process of a dispatcher hands over to another.
struct TransferredConnection {
  evutil_socket_t fd = -1;
  bool keep_alive = false;  // the connection stays open after the response
  bool head_only = false;   // the request was a HEAD: the response has no body
};

enum class CloseReason {
  kClosedByPeer,
  kConnectionError,  // the peer reset the connection, or the kernel reported an error
  kWriteTimeout,     // the peer does not read its response
  kLingerEnded,      // the last response was written; then the peer closed, or the linger timeout expired
  kDiscardFailed,    // the peer reset the connection, or sent more than may be discarded
  kIdleTimeout,
  kDrain,
  kEvicted,  // a new connection needs the descriptor
};
// The name in the log.
const char* NameOf(CloseReason reason);

// Orders connections for eviction: when a new connection needs a descriptor, the one with the lowest value is
// closed first.
struct EvictionPriority {
  enum class Class {
    kLingering,  // only the peer's close is missing
    kSilent,     // has sent no request yet
    kIdle,       // between requests
    kStalled,    // the peer does not finish its request or does not read its response
    kNotEvictable,
  };
  Class eviction_class = Class::kNotEvictable;
  Micros since = 0;  // steady clock; of two connections of one class the older one is evicted
  auto operator<=>(const EvictionPriority&) const = default;
};

class ClientConnection {
 public:
  // Implemented by the frontend, which owns its connections.
  class Owner {
   public:
    // Handles a complete request. Calls exactly one of Respond and AwaitAnswer on the connection before it
    // returns.
    virtual void HandleRequest(ClientConnection* connection, HttpRequest request) = 0;
    // Records that the connection itself answers a request with an error. `request_id` is empty if the
    // request had none.
    virtual void HandleRejection(int status, const std::string& reason, const std::string& request_id) = 0;
    // Destroys a connection that has ended.
    virtual void RemoveConnection(ClientConnection* connection, CloseReason reason) = 0;

   protected:
    ~Owner() = default;
  };

  // Takes ownership of `fd`. All pointers must outlive the connection.
  ClientConnection(event_base* base, evutil_socket_t fd, Owner* owner, const DrainStatus* drain,
                   RequestMemory* memory);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Writes the response to the current request. The connection ends afterwards if the client has asked for
  // it, after an error, or in a drain.
  void Respond(const HttpResponse& response);
  // Marks the request as in flight: Respond is called later. `client` is its number at the frontend.
  void AwaitAnswer(std::uint64_t client);
  std::uint64_t client() const { return client_; }  // 0 without a request in flight
  // Time since the last byte of the complete request arrived at the kernel. The request may have waited in
  // the listen queue, behind another request, or while the process was suspended. Its deadline counts from
  // its last byte.
  Micros TimeSinceArrival() const { return SteadyNow() - last_byte_at_; }

  // Whether the kernel has seen the peer close or reset the connection.
  bool PeerHasClosed() const;

  // Returns what another process needs to respond to the request in flight. Returns nothing if no request is
  // in flight, if the peer has closed, or if bytes that arrived after the request would be lost.
  std::optional<TransferredConnection> PrepareTransfer() const;
  // Takes over a connection whose request was read by another process.
  void ReceiveTransfer(std::uint64_t client, const TransferredConnection& transferred);

  // `lowest` is the lowest priority found so far; a connection that is not below it is not evictable. Neither
  // is one with unread bytes, which may complete a request, unless its input is discarded. The kernel is
  // asked for them only if the connection would otherwise be below `lowest`.
  EvictionPriority PriorityForEviction(Micros now, EvictionPriority lowest) const;
  // Rejects a partial request at once, if there is one. Its last bytes may arrive while the connection is
  // being closed, and its client must then find an answer.
  void AnswerBeforeEviction();

  // Whether a drain may close the connection now: it is between requests and past its initial grace period.
  bool IsIdle() const;
  // Whether a request has arrived in part and no further bytes of it wait to be read.
  bool HasPartialRequest() const;
  // Whether the sending side is closed and only the peer's close is missing.
  bool IsLingering() const { return state_ == State::kLingering; }
  // Ends the connection between requests. Only the sending side is closed at first: a request that crosses
  // the close is read and dropped, never forwarded. It causes no reset that would lose responses which the
  // client has not read yet.
  void CloseBetweenRequests(CloseReason reason);
  // Responds 408 to a partial request.
  void RejectPartialRequest();

 private:
  enum class State {
    kReading,         // reads a request, or waits for the next one
    kAwaitingAnswer,  // a request is in flight
    kWriting,         // writes a response
    kLingering,       // the sending side is closed; input is dropped until the peer closes
  };

  static void OnRead(bufferevent* stream, void* self);
  static void OnWritten(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  void HandleStreamEvent(short what);
  void HandleTimeout();
  void HandleDiscardedEnd(InputDiscarder::End end);

  EvictionPriority::Class EvictionClass(Micros now) const;
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
  const DrainStatus* drain_;
  RequestMemory::Reservation memory_;
  EventPtr<bufferevent> stream_;
  InputDiscarder discarder_;
  Timer timer_;
  RequestReader reader_;
  State state_ = State::kReading;
  // When the connection was accepted, or when its last response was begun or completely written.
  Micros last_progress_at_ = SteadyNow();
  Micros request_started_at_ = 0;  // when the first byte of the current request was read
  Micros last_byte_at_ = 0;        // when the last byte that was read or buffered arrived at the kernel
  std::uint64_t client_ = 0;
  std::uint64_t requests_read_ = 0;    // number of complete requests so far
  bool keep_alive_ = false;            // the current request lets the connection stay open
  bool close_after_response_ = false;  // the connection ends after the current or the next response
  bool head_only_ = false;             // the current request is a HEAD
  CloseReason linger_reason_ = CloseReason::kLingerEnded;
};

// The first Req-Id of a request, for the log; the request may be invalid. Empty if it has none.
std::string RequestIdForLog(const HttpRequest& request);

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_CLIENT_CONNECTION_H_
