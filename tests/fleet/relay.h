// A TCP link on loopback between one dispatcher and one worker, on the rig's event loop, that can be made to
// fail. Of the bytes that pass it parses only the head of each request, to see when an attempt starts and
// when the dispatcher has ended it: observed at the dispatcher's own socket, so that a slow or cut link does
// not change the observation.
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
    std::string request;
    std::uint64_t number = 0;
    // By the steady clock. Where the link was cut, the time of the connection, else now: the attempt's first
    // byte was sent then or later.
    Micros earliest_start = 0;
  };
  struct Observer {
    std::function<void(const Attempt&)> attempt_started;
    std::function<void(const Attempt&)> attempt_ended;
  };
  // `worker_port`: where the link leads. `attempt_counter`: shared by all links, so that attempt numbers are
  // unique. Throws std::runtime_error if it cannot listen.
  Relay(event_base* base, std::uint16_t worker_port, std::uint64_t* attempt_counter, Observer observer);
  ~Relay();
  std::uint16_t port() const { return port_; }

  // Each of these holds until it is changed; bytes that have been read before keep their schedule.
  void CutToWorker(bool cut);
  void CutFromWorker(bool cut);
  void Delay(Micros delay);             // 0: none
  void LimitRate(int bytes_per_milli);  // 0: no limit
  // Connections come up late: the listener's queue is full, so that first packets are dropped, and the
  // dispatcher's kernel retransmits them a second later.
  void DelayConnects(bool delayed);
  // Resets all open connections, once.
  void Reset();

  // Reports the end of attempts whose connection the dispatcher has closed by now, even if the event loop has
  // not processed that yet. Call before judging whether an attempt is open.
  void DetectClosed();
  bool HasOpenAttempt() const;  // one that the dispatcher has not ended

 private:
  struct Chunk {
    Micros due = 0;
    std::string bytes;
  };
  struct Flow;
  struct Pipe {  // one direction of a flow
    Flow* flow = nullptr;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    std::deque<Chunk> delayed;
    std::unique_ptr<Timer> timer;
    bool input_ended = false;
  };
  struct Flow {  // one connection of the dispatcher, and its connection to the worker
    Relay* relay = nullptr;
    EventPtr<bufferevent> dispatcher, worker;
    Pipe to_worker, from_worker;
    std::string head;  // of the request, until the attempt is known
    Attempt attempt;
    Micros opened = 0;
    bool was_cut = false;       // on its way to the worker
    bool attempt_open = false;  // the dispatcher has not ended it
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
  EventPtr<bufferevent> queue_filler_;  // occupies the listener's queue
  std::uint16_t port_ = 0;
  bool cut_to_worker_ = false, cut_from_worker_ = false;
  Micros delay_ = 0;
  int bytes_per_milli_ = 0;
  std::list<Flow> flows_;
  std::unique_ptr<Timer> sweep_;  // erases closed flows, outside of their own callbacks
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_RELAY_H_
