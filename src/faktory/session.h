// A connection of the Faktory frontend, from a producer or a worker. A worker can have several.
#ifndef ALDERSILL_SRC_FAKTORY_SESSION_H_
#define ALDERSILL_SRC_FAKTORY_SESSION_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"
#include "faktory/codec.h"
#include "faktory/command_input.h"
#include "faktory/resp.h"
#include "net/event_ptr.h"
#include "net/input_discarder.h"
#include "net/request_memory.h"
#include "net/steady_clock.h"
#include "net/timer.h"

namespace aldersill::faktory {

class Session;

// The services that a session needs from its owner. Only CloseSession may destroy the session.
class SessionHost {
 public:
  virtual ~SessionHost() = default;
  virtual const ClassDeadlines& classes() const = 0;
  // The longest time that a FETCH is parked.
  virtual Micros fetch_wait() const = 0;
  // The time at which the drain began; 0 if there is none.
  virtual Micros drain_began() const = 0;
  // Whether the process is exiting and all answers must be written by now.
  virtual bool answers_due() const = 0;
  virtual ServerInfo GetInfo() const = 0;
  // Calls AddPendingPush and posts the producer's job to the core. `waited`: the time since the job arrived.
  virtual void SubmitJob(Session* session, Job job, Micros waited) = 0;
  // Assigns the session to the worker that `hello` names; calls BecomeWorker.
  virtual void ConnectWorker(Session* session, const Hello& hello) = 0;
  virtual void RecordHeartbeat(const std::string& worker) = 0;
  // Makes the session's FETCH available for jobs.
  virtual void ParkFetch(Session* session) = 0;
  // Withdraws the session's parked FETCH.
  virtual void CancelFetch(Session* session) = 0;
  // Returns the reply to an ACK or FAIL.
  virtual std::string Acknowledge(const std::string& worker, const Ack& ack, Outcome outcome) = 0;
  // Returns the reply to a BEAT.
  virtual std::string HandleBeat(const std::string& worker, const Beat& beat) = 0;
  // Destroys the session.
  virtual void CloseSession(Session* session) = 0;
};

// Reads commands and writes replies. It runs one command at a time, so replies have the order of their
// commands.
class Session {
 public:
  // A producer's job that is unanswered.
  struct PendingPush {
    std::uint64_t client;
    std::string jid;
  };

  // Takes ownership of the descriptor. `host` and `memory` must outlive the session. `memory` limits the
  // waiting input of all sessions.
  Session(event_base* base, SessionHost* host, RequestMemory* memory, evutil_socket_t fd);

  // The worker's name; empty for a producer.
  const std::string& worker() const { return worker_; }
  void BecomeWorker(std::string name) { worker_ = std::move(name); }
  const std::vector<PendingPush>& pending_pushes() const { return pending_pushes_; }
  void AddPendingPush(std::uint64_t client, std::string jid) {
    pending_pushes_.push_back({client, std::move(jid)});
  }
  // Returns whether the session is about to close because of END or an error.
  bool ending() const { return state_ == State::kEnding; }
  bool has_parked_fetch() const { return state_ == State::kFetching; }
  // Returns whether a drain can close the session without losing the answer to a command that the peer has
  // sent or is about to send.
  bool IsIdle(Micros drain_began) const;

  // Returns whether the kernel has seen the peer close or reset the connection.
  bool PeerHasClosed() const;

  // Answers the parked FETCH with a job, which is already encoded as a reply.
  void DeliverFetch(const std::string& reply) { Reply(reply); }
  // Answers a pending push. Does nothing if it is not pending.
  void AnswerPush(std::uint64_t client, const FinalAnswer& answer);

 private:
  enum class State { kGreeting, kReady, kFetching, kPushing, kPushingBulk, kEnding };

  static void OnReadable(bufferevent* stream, void* self);
  static void OnWritten(bufferevent* stream, void* self);
  static void OnStreamEvent(bufferevent* stream, short what, void* self);
  void HandleTimeout();
  void HandleWritten();

  void Write(const std::string& text);
  // Replies to the current command and continues with the next one.
  void Reply(const std::string& reply);
  // Writes a last reply, after which the session closes.
  void EndWith(const std::string& last_reply);

  void HandleReadable();
  // Runs the commands that wait, until one of them has to wait for its reply.
  void RunCommands();
  // Handles that no complete command waits.
  void HandleIncompleteCommand();
  // Runs one command. Returns false if the session ends.
  bool RunLine(const CommandLine& line);
  void Run(const Command& command, Micros arrived_at);
  void Greet(const Command& command);
  void Push(const std::string& argument, Micros arrived_at);
  void PushBulk(const std::string& argument, Micros arrived_at);
  void FinishBulk();
  void Fetch();
  void End();
  // Returns the worker's name. Throws BadCommand for a producer.
  const std::string& RequireWorker() const;

  SessionHost* host_;
  EventPtr<bufferevent> stream_;
  CommandInput input_;
  // Active once more input has arrived than may wait: the rest is not run.
  InputDiscarder discarder_;
  Timer timer_;
  const Micros accepted_ = SteadyNow();
  State state_ = State::kGreeting;
  std::string worker_;
  std::vector<PendingPush> pending_pushes_;
  std::vector<std::pair<std::string, std::string>> bulk_errors_;  // pairs of jid and text
  bool submitting_bulk_ = false;
};

}  // namespace aldersill::faktory

#endif  // ALDERSILL_SRC_FAKTORY_SESSION_H_
