// A TCP link on loopback between one dispatcher and one worker, into which faults can be injected. It runs on
// the rig's event loop. It parses only the head of each request, to report when an attempt starts. It detects
// the end of an attempt at the dispatcher's own connection, so that a slow or cut link does not delay the
// report.
#ifndef ALDERSILL_TESTS_FLEET_RELAY_H_
#define ALDERSILL_TESTS_FLEET_RELAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class Relay {
 public:
  struct Attempt {
    std::string request;       // value of the Req-Id header
    std::uint64_t number = 0;  // unique among all links
    // The time, by the steady clock, from which the attempt counts as started: when the relay read the
    // request head or, if the direction to the worker was cut meanwhile, when the dispatcher connected, since
    // it may have sent the head at any time after that.
    Micros earliest_start = 0;
  };
  struct Observer {
    std::function<void(const Attempt&)> attempt_started;
    // Called when the dispatcher has closed its side or the relay has closed the connection.
    std::function<void(const Attempt&)> attempt_ended;
  };
  // `worker_port`: the port on 127.0.0.1 at which the worker listens. `attempt_counter`: shared by all links,
  // so that attempt numbers are unique. Throws std::runtime_error if the relay cannot listen.
  Relay(event_base* base, std::uint16_t worker_port, std::uint64_t* attempt_counter, Observer observer);
  ~Relay();
  // The port at which the dispatcher reaches the worker.
  std::uint16_t port() const { return port_; }

  // Each of the following settings stays in force until the next call. Bytes that the relay has read before
  // the call keep their schedule.
  void CutToWorker(bool cut);
  void CutFromWorker(bool cut);
  void Delay(Micros delay);             // 0: none
  void LimitRate(int bytes_per_milli);  // 0: no limit
  // Delays new connections by about a second: the listener's queue is kept full, so that the kernel drops the
  // first SYN and the dispatcher's side retransmits it a second later.
  void DelayConnects(bool delayed);
  // Resets all connections that are open now.
  void Reset();

  // Reports the end of attempts whose connection the dispatcher has already closed, even if the event loop
  // has not processed the close yet. Call it before deciding whether an attempt is open.
  void DetectClosed();
  // Returns whether an attempt has started and not ended.
  bool HasOpenAttempt() const;

 private:
  struct Chunk {
    Micros due = 0;  // when it is forwarded, by the steady clock
    std::string bytes;
  };
  struct Flow;
  struct Pipe {  // one direction of a flow
    Flow* flow = nullptr;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    std::deque<Chunk> delayed;
    std::unique_ptr<Timer> timer;  // forwards the first delayed chunk
    bool input_ended = false;      // `from` has reached the end of its stream
  };
  struct Flow {  // one connection from the dispatcher, and the relay's connection to the worker for it
    Relay* relay = nullptr;
    EventPtr<bufferevent> dispatcher, worker;
    Pipe to_worker, from_worker;
    std::string head;  // the bytes received from the dispatcher until the request's id is complete
    Attempt attempt;
    Micros opened = 0;          // when the dispatcher connected, by the steady clock
    bool was_cut = false;       // the direction to the worker has been cut since the connection opened
    bool attempt_open = false;  // the attempt has started and not ended
    bool closed = false;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  static void OnRead(bufferevent*, void* pipe);
  static void OnEvent(bufferevent*, short what, void* pipe);
  static void OnWritten(bufferevent*, void* pipe);
  void OpenPipe(Pipe* pipe, Flow* flow, bufferevent* from, bufferevent* to);
  void ReadInput(Pipe* pipe);
  void Enqueue(Pipe* pipe, std::string bytes);
  void Forward(Pipe* pipe);
  void ParseHead(Flow* flow, const std::string& bytes);
  void EndAttempt(Flow* flow);
  void Close(Flow* flow);
  bool IsCut(const Pipe& pipe) const;
  void ApplyCuts();

  event_base* base_;
  const std::uint16_t worker_port_;
  std::uint64_t* attempt_counter_;
  Observer observer_;
  EventPtr<evconnlistener> listener_;
  EventPtr<bufferevent> queue_filler_;  // a connection that keeps the listener's queue full
  std::uint16_t port_ = 0;
  bool cut_to_worker_ = false, cut_from_worker_ = false;
  Micros delay_ = 0;
  int bytes_per_milli_ = 0;
  std::list<Flow> flows_;
  std::unique_ptr<Timer> sweep_;  // erases closed flows, outside their own callbacks
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_RELAY_H_
