// The interface through which attempts are sent to workers over one protocol: HTTP to the workers of
// discovery's list, or Faktory to the workers that have a session with this process.
#ifndef ALDERSILL_SRC_DAEMON_ATTEMPT_TRANSPORT_H_
#define ALDERSILL_SRC_DAEMON_ATTEMPT_TRANSPORT_H_

#include "core/types.h"

namespace aldersill {

// Implemented by components. All functions run on the event loop's thread. A transport reports the progress
// of an attempt by posting AttemptConnected, AttemptSent, AttemptProgress and one AttemptEnded.
class AttemptTransport {
 public:
  virtual ~AttemptTransport() = default;

  // Starts an attempt at the worker that `start` names.
  virtual void Start(const StartAttempt& start) = 0;
  // Permits the transport to write the first byte of the request. Only used with transports that post
  // AttemptConnected and wait for this permission.
  virtual void Send(const SendAttempt& /*send*/) {}
  // Cancels the attempt. No AttemptEnded follows. If the worker cannot be told to stop, the transport
  // posts AbandonedAttemptEnded when the worker has ended the attempt.
  virtual void Stop(AttemptId attempt) = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_ATTEMPT_TRANSPORT_H_
