#include "http/worker_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

#include "http/attempt_request.h"
#include "net/steady_clock.h"

namespace aldersill {
namespace {

constexpr std::size_t kMaxTransferredBytes = 16'384;

}  // namespace

WorkerConnection::WorkerConnection(event_base* base, Owner* owner, EventSink* sink, std::string address,
                                   EventPtr<bufferevent> stream)
    : owner_(owner),
      sink_(sink),
      address_(std::move(address)),
      stream_(std::move(stream)),
      reader_(address_),
      probe_timer_(base, [this] { FinishWithoutResponse(Outcome::kTimeout, "no answer in time"); }) {
  bufferevent_setcb(stream_.get(), &WorkerConnection::OnRead, nullptr, &WorkerConnection::OnEvent, this);
  // The buffer's callback runs immediately, while the stream's own callbacks are deferred. Events handled in
  // the same iteration of the event loop, such as an update that drains the worker, must not find a request
  // that has been sent still marked as unsent.
  evbuffer_add_cb(bufferevent_get_output(stream_.get()), &WorkerConnection::OnOutputChanged, this);
}

WorkerConnection::~WorkerConnection() {
  // A deferred callback may keep the stream alive for some time; nothing must be written or posted from now
  // on.
  evbuffer_remove_cb(bufferevent_get_output(stream_.get()), &WorkerConnection::OnOutputChanged, this);
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
}

bool WorkerConnection::Connect(const Endpoint& worker) {
  const sockaddr_in address = ToSockaddr(worker);
  if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0)
    return false;
  const int on = 1;
  setsockopt(bufferevent_getfd(stream_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  return true;
}

// ---- Requests ----

void WorkerConnection::StartAttempt(AttemptId attempt, std::shared_ptr<const Job> job) {
  attempt_ = attempt;
  job_ = std::move(job);
  reader_.ExpectResultOf(job_->id);
}

void WorkerConnection::Send(Micros time_left) {
  bufferevent* stream = stream_.get();
  evbuffer* output = bufferevent_get_output(stream);
  Write(EncodeAttemptRequest(*job_, address_, time_left));
  bufferevent_incref(stream);  // the receiver of AttemptSent may destroy this connection
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(stream));
  evbuffer_freeze(output, 1);
  bufferevent_decref(stream);
}

void WorkerConnection::StartProbe(std::string worker, Micros timeout, ProbeDone done) {
  probe_done_ = std::move(done);
  probed_worker_ = std::move(worker);
  Write(EncodeProbeRequest(address_));
  probe_timer_.Set(timeout);
}

void WorkerConnection::Write(const std::string& message) {
  request_started_at_ = SteadyNow();
  bufferevent_write(stream_.get(), message.data(), message.size());
}

void WorkerConnection::OnOutputChanged(evbuffer* output, const evbuffer_cb_info* info, void* self) {
  auto* connection = static_cast<WorkerConnection*>(self);
  if (info->n_deleted == 0 || connection->request_sent_ || !connection->attempt_ ||
      evbuffer_get_length(output) > 0)
    return;
  connection->request_sent_ = true;
  connection->sink_->Post(AttemptSent{*connection->attempt_});
}

// ---- Transfer ----

std::optional<TransferredAttempt> WorkerConnection::PrepareTransfer() const {
  if (!request_sent_ || reader_.has_result() || reader_.framing_complete() ||
      received_.size() > kMaxTransferredBytes)
    return std::nullopt;
  return TransferredAttempt{
      .fd = bufferevent_getfd(stream_.get()), .address = address_, .received = received_};
}

void WorkerConnection::ReceiveTransfer(AttemptId attempt, std::shared_ptr<const Job> job,
                                       const std::string& received) {
  StartAttempt(attempt, std::move(job));
  request_sent_ = true;
  received_ = received;
  reader_.Read(received);
  reader_.TakeProgress();  // the other process has already posted it
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

// ---- Responses ----

void WorkerConnection::OnRead(bufferevent*, void* self) {
  static_cast<WorkerConnection*>(self)->HandleRead();
}

void WorkerConnection::HandleRead() {
  evbuffer* input = bufferevent_get_input(stream_.get());
  const std::size_t size = evbuffer_get_length(input);
  const std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
  if (attempt_ && received_.size() <= kMaxTransferredBytes)
    received_.append(bytes);
  reader_.Read(bytes);
  evbuffer_drain(input, size);
  // The result takes precedence: bytes after the final line are ignored, even if their framing is malformed.
  if (reader_.framing_complete() || reader_.has_result())
    return FinishWithResponse();
  if (reader_.malformed())
    return FinishWithoutResponse(Outcome::kError, "malformed response");
  PostProgress();
}

// Not called from within the parser, because the receiver may destroy this connection.
void WorkerConnection::PostProgress() {
  if (!attempt_)
    return;
  const AttemptId attempt = *attempt_;
  EventSink* sink = sink_;
  for (const WorkerResponseReader::Progress& progress : reader_.TakeProgress())
    sink->Post(AttemptProgress{.attempt = attempt, .started = progress.started, .share = progress.share});
}

void WorkerConnection::OnEvent(bufferevent*, short what, void* self) {
  auto* connection = static_cast<WorkerConnection*>(self);
  if ((what & BEV_EVENT_CONNECTED) != 0 && connection->attempt_)
    return connection->sink_->Post(AttemptConnected{*connection->attempt_});
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    connection->HandleClose(what);
}

void WorkerConnection::HandleClose(short what) {
  std::string reason = (what & BEV_EVENT_EOF) != 0 ? "closed by the worker"
                                                   : evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
  if ((what & BEV_EVENT_EOF) != 0) {
    reader_.ReadEnd();
    if (reader_.framing_complete() && (attempt_ || probed_worker_))
      return FinishWithResponse();
  }
  if (reader_.ReadUnterminatedResult())
    return FinishWithResponse();
  // The worker cannot have run a request whose last byte was not written.
  FinishWithoutResponse(request_sent_ ? Outcome::kLost : Outcome::kConnectFailed, std::move(reason));
}

void WorkerConnection::FinishWithResponse() {
  AttemptEnded ended = reader_.TakeOutcome();
  const LoadReport report = ended.report;
  Finish(std::move(ended), SteadyNow() - request_started_at_, report);
}

void WorkerConnection::FinishWithoutResponse(Outcome outcome, std::string reason) {
  AttemptEnded ended;
  ended.outcome = outcome;
  ended.report = reader_.load();
  ended.reason = std::move(reason);
  Finish(std::move(ended), 0, {});
}

// The connection is removed before the outcome is posted, so that it does not count against the connection
// limit when the core retries.
void WorkerConnection::Finish(AttemptEnded ended, Micros probe_elapsed, const LoadReport& probe_report) {
  const std::optional<AttemptId> attempt = std::exchange(attempt_, std::nullopt);
  const std::optional<std::string> probed_worker = std::exchange(probed_worker_, std::nullopt);
  const ProbeDone probe_done = std::move(probe_done_);
  EventSink* sink = sink_;
  owner_->RemoveConnection(this, attempt);
  if (probed_worker)
    probe_done(ProbeCompleted{.worker = *probed_worker,
                              .outcome = ended.outcome,
                              .elapsed = probe_elapsed,
                              .report = probe_report});
  if (!attempt)
    return;
  ended.attempt = *attempt;
  sink->Post(std::move(ended));
}

}  // namespace aldersill
