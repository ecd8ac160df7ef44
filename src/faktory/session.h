// One connection of the Faktory frontend: a producer's, or one of a worker's.
#ifndef ALDERSILL_SRC_FAKTORY_SESSION_H_
#define ALDERSILL_SRC_FAKTORY_SESSION_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"
#include "faktory/codec.h"
#include "faktory/resp.h"
#include "net/event_ptr.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill::faktory {

class Session;

// What a session needs of its owner. No function may destroy the session but CloseSession.
class SessionHost {
 public:
  virtual ~SessionHost() = default;
  virtual const ClassDeadlines& classes() const = 0;
  // How long a FETCH may be parked.
  virtual Micros fetch_wait() const = 0;
  // When the drain began; 0 if there is none.
  virtual Micros drain_began() const = 0;
  virtual Info GetInfo() const = 0;
  // Posts a producer's job; calls AddPendingPush before.
  virtual void SubmitJob(Session* session, Job job) = 0;
  // Makes the session one of a worker's; calls BecomeWorker.
  virtual void ConnectWorker(Session* session, const Hello& hello) = 0;
  virtual void RecordHeartbeat(const std::string& worker) = 0;
  // Offers the session's parked FETCH for jobs, or withdraws it.
  virtual void ParkFetch(Session* session) = 0;
  virtual void CancelFetch(Session* session) = 0;
  // Return the reply to an ACK or FAIL, and to a BEAT.
  virtual std::string Acknowledge(const std::string& worker, const Ack& ack, Outcome outcome) = 0;
  virtual std::string HandleBeat(const std::string& worker, const Beat& beat) = 0;
  // Destroys the session.
  virtual void CloseSession(Session* session) = 0;
};

// Reads commands and writes replies, one command at a time: replies come in the order of their commands.
class Session {
 public:
  // A producer's job that has no answer yet.
  struct PendingPush {
    std::uint64_t client;
    std::string jid;
  };

  // Takes over the descriptor. `host` must outlive the session.
  Session(event_base* base, SessionHost* host, evutil_socket_t fd);

  // The worker's name; empty for a producer.
  const std::string& worker() const { return worker_; }
  void BecomeWorker(std::string name) { worker_ = std::move(name); }
  const std::vector<PendingPush>& pending_pushes() const { return pending_pushes_; }
  void AddPendingPush(std::uint64_t client, std::string jid) {
    pending_pushes_.push_back({client, std::move(jid)});
  }
  // Whether it ends by itself, by END or after an error.
  bool ending() const { return state_ == State::kEnding; }
  bool has_parked_fetch() const { return state_ == State::kFetching; }
  // Whether it may be closed in a drain without losing the answer to a command that is on its way.
  bool IsIdle(Micros drain_began) const;

  // Ends the parked FETCH with a job, already encoded as a reply.
  void DeliverFetch(const std::string& reply) { Reply(reply); }
  // Answers a pending push. Ignored if it is not pending.
  void AnswerPush(std::uint64_t client, const FinalAnswer& answer);

 private:
  enum class State { kGreeting, kReady, kFetching, kPushing, kPushingBulk, kEnding };

  static void OnReadable(bufferevent* stream, void* self);
  static void OnWritten(bufferevent* stream, void* self);
  static void OnStreamEvent(bufferevent* stream, short what, void* self);
  void HandleTimeout();
  void HandleWritten();

  void Write(const std::string& text);
  // Replies to the current command, and goes on to the next.
  void Reply(const std::string& reply);
  void EndWith(const std::string& last_reply);

  void ReadCommands();
  // Runs one command line. False if the session ends.
  bool RunLine(const std::string& line);
  void Run(const Command& command);
  void Greet(const Command& command);
  void Push(const std::string& argument);
  void PushBulk(const std::string& argument);
  void FinishBulk();
  void Fetch();
  void End();
  const std::string& RequireWorker() const;

  SessionHost* host_;
  EventPtr<bufferevent> stream_;
  Timer timer_;
  const Micros accepted_ = SteadyNow();
  State state_ = State::kGreeting;
  std::string worker_;
  std::vector<PendingPush> pending_pushes_;
  std::vector<std::pair<std::string, std::string>> bulk_errors_;  // by jid
  bool submitting_bulk_ = false;
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_SESSION_H_
