#include "faktory/session.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

#include "core/text.h"
#include "net/peer_state.h"
#include "net/tcp_arrival.h"

namespace aldersill::faktory {
namespace {

// Equal to the maximum size of a body in the platform's protocol.
constexpr std::size_t kMaxLineBytes = std::size_t{64} * 1024;
constexpr Micros kHelloTimeout = 5 * kSecond;
// An error may be written while the peer still sends. Closing at once would reset the connection and lose the
// error, so the input is read and dropped for this long.
constexpr Micros kLingerTimeout = 3 * kSecond;
constexpr Micros kNewSessionGrace = 600 * kMillisecond;
constexpr Micros kOverloadRetryAfter = 500 * kMillisecond;
// Closes the session of a peer that does not read its replies.
constexpr timeval kWriteTimeout = {120, 0};

std::string NackText(Micros retry_after, const std::string& reason) {
  return "NACK retry-after=" + DecimalSeconds(retry_after) + " " + reason;
}

// Returns the text after "-ERR". A rejection says when to retry; after a failure, the job may have run.
std::string ErrorText(const FinalAnswer& answer) {
  if (const auto* rejection = std::get_if<Rejection>(&answer))
    return NackText(rejection->retry_after, "refused: pushing again is harmless");
  switch (std::get<Failure>(answer).reason) {
    case Failure::Reason::kTooLate:
      return "FAILED no answer in time: it may have run";
    case Failure::Reason::kRepeat:
      return "FAILED a repeat of this jid that its class forbids";
    case Failure::Reason::kFailed:
      break;
  }
  return "FAILED it may have run";
}

}  // namespace

Session::Session(event_base* base, SessionHost* host, RequestMemory* memory, evutil_socket_t fd)
    : host_(host),
      stream_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      input_(bufferevent_get_input(stream_.get()), memory),
      discarder_(base, [this](InputDiscarder::End) { host_->CloseSession(this); }),
      timer_(base, [this] { HandleTimeout(); }) {
  bufferevent_setcb(stream_.get(), &Session::OnReadable, &Session::OnWritten, &Session::OnStreamEvent, this);
  bufferevent_set_timeouts(stream_.get(), nullptr, &kWriteTimeout);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  Write(SimpleString("HI {\"v\":2}"));
  timer_.Set(kHelloTimeout);
}

bool Session::IsIdle(Micros drain_began) const {
  // A session that was accepted during the drain, or that has sent part of a line, is expected to send a
  // command soon.
  const bool has_partial_line = input_.size() != 0;
  const bool in_grace =
      SteadyNow() - std::max(accepted_, drain_began) < kNewSessionGrace && !host_->answers_due();
  if ((accepted_ >= drain_began || has_partial_line) && in_grace)
    return false;
  if (state_ != State::kGreeting && state_ != State::kReady)
    return false;
  int unread = 0;
  return evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0 &&
         ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &unread) == 0 && unread == 0;
}

bool Session::PeerHasClosed() const { return aldersill::PeerHasClosed(bufferevent_getfd(stream_.get())); }

void Session::AnswerPush(std::uint64_t client, const FinalAnswer& answer) {
  const auto push = std::find_if(pending_pushes_.begin(), pending_pushes_.end(),
                                 [client](const PendingPush& pending) { return pending.client == client; });
  if (push == pending_pushes_.end())
    return;
  const std::string jid = std::move(push->jid);
  pending_pushes_.erase(push);
  const bool served = std::holds_alternative<Served>(answer);
  if (state_ != State::kPushingBulk)
    return Reply(served ? SimpleString("OK") : Error("ERR", ErrorText(answer)));
  if (!served)
    bulk_errors_.emplace_back(jid, ErrorText(answer));
  if (pending_pushes_.empty() && !submitting_bulk_)
    FinishBulk();
}

void Session::OnReadable(bufferevent* /*stream*/, void* self) {
  static_cast<Session*>(self)->HandleReadable();
}

void Session::OnWritten(bufferevent* /*stream*/, void* self) { static_cast<Session*>(self)->HandleWritten(); }

void Session::OnStreamEvent(bufferevent* /*stream*/, short what, void* self) {
  auto* session = static_cast<Session*>(self);
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    session->host_->CloseSession(session);
}

void Session::HandleTimeout() {
  if (state_ == State::kGreeting)
    return host_->CloseSession(this);  // The peer has sent no HELLO.
  if (state_ == State::kEnding)
    return host_->CloseSession(this);  // The peer has not closed the connection after an error.
  if (state_ != State::kFetching)
    return;
  host_->CancelFetch(this);
  Reply(NullBulk());
}

void Session::HandleWritten() {
  const Micros drain_began = host_->drain_began();
  // A producer that pushes again immediately is idle only right after a reply has been written, so a drain
  // must check for idleness here.
  const bool drained = drain_began != 0 && worker_.empty() && IsIdle(drain_began);
  const bool ended =
      state_ == State::kEnding && evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
  if (ended && discarder_.active()) {
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    return timer_.Set(kLingerTimeout);
  }
  if (drained || ended)
    host_->CloseSession(this);
}

void Session::Write(const std::string& text) { bufferevent_write(stream_.get(), text.data(), text.size()); }

void Session::Reply(const std::string& reply) {
  timer_.Clear();
  state_ = State::kReady;
  Write(reply);
  // The next read is deferred, because the caller may be posting an event to the core.
  bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void Session::EndWith(const std::string& last_reply) {
  state_ = State::kEnding;
  timer_.Clear();
  Write(last_reply);
}

void Session::HandleReadable() {
  const evutil_socket_t fd = bufferevent_getfd(stream_.get());
  if (!input_.RecordArrival(SteadyNow() - TimeSinceLastReceive(fd)) && !discarder_.active()) {
    bufferevent_disable(stream_.get(), EV_READ);
    discarder_.Start(fd);
  }
  RunCommands();
}

void Session::RunCommands() {
  while (state_ == State::kGreeting || state_ == State::kReady) {
    const std::optional<CommandLine> line = input_.TakeLine();
    if (!line)
      return HandleIncompleteCommand();
    if (!RunLine(*line))
      return;
  }
}

void Session::HandleIncompleteCommand() {
  if (discarder_.active())
    return EndWith(Error(
        "ERR", NackText(kOverloadRetryAfter, "refused: too many bytes wait behind an unanswered command")));
  if (input_.size() > kMaxLineBytes)
    EndWith(Error("ERR", "command too long"));
}

bool Session::RunLine(const CommandLine& line) {
  if (line.text.size() > kMaxLineBytes) {
    EndWith(Error("ERR", "command too long"));
    return false;
  }
  try {
    Run(DecodeCommand(line.text), line.arrived_at);
  } catch (const BadCommand& error) {
    if (state_ == State::kGreeting) {
      EndWith(Error("ERR", error.what()));
      return false;
    }
    Write(Error("ERR", error.what()));
  }
  return true;
}

void Session::Run(const Command& command, Micros arrived_at) {
  if (state_ == State::kGreeting)
    return Greet(command);
  if (!worker_.empty())
    host_->RecordHeartbeat(worker_);
  if (command.verb == "PUSH")
    return Push(command.argument, arrived_at);
  if (command.verb == "PUSHB")
    return PushBulk(command.argument, arrived_at);
  if (command.verb == "FETCH")
    return Fetch();
  if (command.verb == "ACK")
    return Write(host_->Acknowledge(RequireWorker(), DecodeAck(command.argument), Outcome::kServed));
  if (command.verb == "FAIL")
    return Write(host_->Acknowledge(RequireWorker(), DecodeAck(command.argument), Outcome::kError));
  if (command.verb == "BEAT")
    return Write(host_->HandleBeat(RequireWorker(), DecodeBeat(command.argument)));
  if (command.verb == "INFO")
    return Write(BulkString(EncodeInfo(host_->GetInfo())));
  if (command.verb == "END")
    return End();
  throw BadCommand("unknown command " + command.verb);
}

void Session::Greet(const Command& command) {
  if (command.verb != "HELLO")
    throw BadCommand("HELLO comes first");
  const Hello hello = DecodeHello(command.argument);
  if (hello.version != 2)
    throw BadCommand("only version 2 is spoken here");
  timer_.Clear();
  state_ = State::kReady;
  Write(SimpleString("OK"));
  if (!hello.wid.empty())
    host_->ConnectWorker(this, hello);
}

void Session::Push(const std::string& argument, Micros arrived_at) {
  Job job = DecodePush(argument, host_->classes());
  state_ = State::kPushing;
  host_->SubmitJob(this, std::move(job), SteadyNow() - arrived_at);
}

void Session::PushBulk(const std::string& argument, Micros arrived_at) {
  std::vector<BulkPushItem> pushed_items = DecodePushBulk(argument, host_->classes());
  state_ = State::kPushingBulk;
  bulk_errors_.clear();
  // Prevents a job that is answered immediately from finishing the reply before all jobs are submitted.
  submitting_bulk_ = true;
  for (BulkPushItem& pushed : pushed_items) {
    if (pushed.job)
      host_->SubmitJob(this, std::move(*pushed.job), SteadyNow() - arrived_at);
    else
      bulk_errors_.emplace_back(pushed.jid, pushed.error);
  }
  submitting_bulk_ = false;
  if (pending_pushes_.empty())
    FinishBulk();
}

void Session::FinishBulk() { Reply(BulkString(EncodePushBulkReply(bulk_errors_))); }

void Session::Fetch() {
  RequireWorker();
  state_ = State::kFetching;
  timer_.Set(host_->fetch_wait());
  host_->ParkFetch(this);
}

void Session::End() {
  state_ = State::kEnding;
  // The callback is deferred, because commands are still being read and pending replies must be written
  // first.
  bufferevent_trigger(stream_.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

const std::string& Session::RequireWorker() const {
  if (worker_.empty())
    throw BadCommand("only a worker, with a wid in its HELLO, may do this");
  return worker_;
}

}  // namespace aldersill::faktory
