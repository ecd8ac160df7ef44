// The Faktory frontend. Producers PUSH and are answered once the work is done; workers with a wid are
// instances, and a FETCH of theirs is a free slot. It keeps sessions and decides nothing.
#ifndef ALDERSILL_SRC_FAKTORY_FRONTEND_H_
#define ALDERSILL_SRC_FAKTORY_FRONTEND_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "faktory/codec.h"
#include "net/event_loop.h"

namespace aldersill::faktory {

struct FrontendSettings {
  Endpoint listen;
  Micros fetch_wait = 2 * kSecond;  // how long a FETCH may wait before it gets null
  Micros silence = 60 * kSecond;    // a worker not heard of for this long is gone
  Micros return_within = kSecond;   // a worker without a connection for this long is gone
  int most_connections = 128;
  ClassDeadlines classes;
};

class Frontend {
 public:
  // Throws std::runtime_error if it cannot listen.
  Frontend(event_base* base, FrontendSettings settings, EventSink* sink);
  ~Frontend();

  // New settings. `listener`: in place of the one it has; null keeps that.
  void ApplySettings(FrontendSettings settings, EventPtr<evconnlistener> listener);
  // Where a new endpoint will be listened on once it is adopted. Throws std::runtime_error if it cannot be.
  EventPtr<evconnlistener> Open(const Endpoint& listen);
  int port() const;
  void Reply(std::uint64_t client, const FinalAnswer& answer);
  void Start(const StartAttempt& start);
  void Stop(AttemptId attempt);
  // From here on closes producers' sessions, each between two commands. Workers stay: what was taken needs
  // them.
  void BeginDrain();
  // Switched off: takes no newcomers, and ends what it has as in a drain. Adopt() switches it on again.
  void Close();
  // Whether every producer has gone.
  bool Quiet() const;

 private:
  class Session;
  struct Worker {
    WorkerEndpoint endpoint;
    int sessions = 0;
    bool quiet = false;                // it said so
    std::deque<Session*> fetching;     // parked FETCHes, the longest waiting first
    std::deque<StartAttempt> waiting;  // executions given to it that wait for a FETCH
    struct Held {
      AttemptId attempt{};
      const Session* session = nullptr;  // that fetched it; none once that has ended by END
    };
    std::unordered_multimap<std::string, Held> held;           // fetched, by jid
    std::unordered_multimap<std::string, AttemptId> given_up;  // fetched, ended by us, not yet acknowledged
    std::unique_ptr<Timer> silence;  // what it is not heard of for, or not connected
  };

  static void OnAccept(evconnlistener* listener, evutil_socket_t fd, sockaddr* peer, int size, void* self);

  void Enter(Session* session, const Hello& hello);
  void Park(Session* session);
  void Unpark(Session* session);
  void Deliver(Worker* worker, Session* session, const StartAttempt& start);
  // The reply to an ACK or FAIL.
  std::string Acknowledge(const std::string& wid, const Ack& ack, Outcome outcome);
  std::string Hear(const std::string& wid, const Beat& beat);
  void Heard(const std::string& wid);
  // A session of a worker ended. By END, what it fetched stays with the worker, which gets nothing new
  // without a session and is gone if none follows soon. Else what it fetched is lost, and with the last one
  // so is the worker.
  void Leave(Session* session, bool by_end);
  void Release(const Worker& worker);  // all that was given up on
  void Lose(const std::string& name);  // the worker is gone, and what it has fetched is lost
  void TellState(const Worker& worker);
  void TellFree(const Worker& worker);
  std::uint64_t Take(Session* session, Job job);
  void Remove(Session* session);
  void CloseIdle();

  event_base* base_;
  FrontendSettings settings_;
  EventSink* sink_;
  EventPtr<evconnlistener> listener_;
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
  std::map<std::string, Worker> workers_;                // by instance name
  std::map<AttemptId, std::string> attempts_;            // waiting or held, to the worker's name
  std::unordered_map<std::uint64_t, Session*> clients_;  // pushes that wait for their answer
  std::uint64_t next_client_ = 1;
  std::uint64_t pushed_ = 0, done_ = 0, failed_ = 0;
  Micros began_ = 0;
  Micros drain_began_ = 0;
  Timer drain_timer_;
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_FRONTEND_H_
