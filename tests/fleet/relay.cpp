#include "fleet/relay.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/endpoint.h"
#include "net/listener.h"
#include "net/steady_clock.h"

namespace aldersill::fleet {
namespace {

sockaddr_in Loopback(std::uint16_t port) { return ToSockaddr({"127.0.0.1", port}); }

// Returns whether the peer has closed its side, even if bytes that it sent before have not been read yet.
bool PeerHasClosed(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return fd < 0 || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         info.tcpi_state != TCP_ESTABLISHED;
}

}  // namespace

Relay::Relay(event_base* base, std::uint16_t worker_port, std::uint64_t* attempt_counter, Observer observer)
    : base_(base),
      worker_port_(worker_port),
      attempt_counter_(attempt_counter),
      observer_(std::move(observer)) {
  const sockaddr_in any = Loopback(0);
  listener_.reset(evconnlistener_new_bind(base, &Relay::OnAccept, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
                                          reinterpret_cast<const sockaddr*>(&any), sizeof(any)));
  if (listener_ == nullptr)
    throw std::runtime_error("the relay to the worker on port " + std::to_string(worker_port) +
                             " cannot listen on 127.0.0.1");
  port_ = static_cast<std::uint16_t>(LocalPort(evconnlistener_get_fd(listener_.get())));
  sweep_ = std::make_unique<Timer>(
      base, [this] { std::erase_if(flows_, [](const Flow& flow) { return flow.closed; }); });
}

Relay::~Relay() = default;

void Relay::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* relay = static_cast<Relay*>(self);
  Flow& flow = relay->flows_.emplace_back();
  flow.relay = relay;
  flow.opened = SteadyNow();
  flow.was_cut = relay->cut_to_worker_;
  flow.dispatcher.reset(bufferevent_socket_new(relay->base_, fd, BEV_OPT_CLOSE_ON_FREE));
  flow.worker.reset(bufferevent_socket_new(relay->base_, -1, BEV_OPT_CLOSE_ON_FREE));
  relay->OpenPipe(&flow.to_worker, &flow, flow.dispatcher.get(), flow.worker.get());
  relay->OpenPipe(&flow.from_worker, &flow, flow.worker.get(), flow.dispatcher.get());
  if (!relay->cut_to_worker_)
    bufferevent_enable(flow.dispatcher.get(), EV_READ);
  const sockaddr_in to = Loopback(relay->worker_port_);
  if (bufferevent_socket_connect(flow.worker.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0)
    return relay->Close(&flow);
  if (!relay->cut_from_worker_)
    bufferevent_enable(flow.worker.get(), EV_READ);
}

void Relay::OpenPipe(Pipe* pipe, Flow* flow, bufferevent* from, bufferevent* to) {
  pipe->flow = flow;
  pipe->from = from;
  pipe->to = to;
  pipe->timer = std::make_unique<Timer>(base_, [this, pipe] { Forward(pipe); });
  bufferevent_setcb(from, &Relay::OnRead, &Relay::OnWritten, &Relay::OnEvent, pipe);
}

void Relay::OnRead(bufferevent*, void* arg) {
  auto* pipe = static_cast<Pipe*>(arg);
  pipe->flow->relay->ReadInput(pipe);
}

// Moves the received bytes to the queue that delays them and limits their rate.
void Relay::ReadInput(Pipe* pipe) {
  if (pipe->flow->closed || IsCut(*pipe))
    return;
  evbuffer* input = bufferevent_get_input(pipe->from);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (bytes.empty())
    return;
  if (pipe == &pipe->flow->to_worker)
    ParseHead(pipe->flow, bytes);
  Enqueue(pipe, std::move(bytes));
  Forward(pipe);
}

void Relay::Enqueue(Pipe* pipe, std::string bytes) {
  const Micros due = SteadyNow() + delay_;
  if (bytes_per_milli_ == 0) {
    pipe->delayed.push_back({due, std::move(bytes)});
    return;
  }
  for (std::size_t at = 0, step = 1; at < bytes.size(); at += bytes_per_milli_, ++step)
    pipe->delayed.push_back(
        {due + static_cast<Micros>(step) * kMillisecond, bytes.substr(at, bytes_per_milli_)});
}

// Writes the chunks that are due. Closes the flow once the input has ended and all bytes have been written.
void Relay::Forward(Pipe* pipe) {
  if (pipe->flow->closed || IsCut(*pipe))
    return;
  const Micros now = SteadyNow();
  for (; !pipe->delayed.empty() && pipe->delayed.front().due <= now; pipe->delayed.pop_front()) {
    const std::string& bytes = pipe->delayed.front().bytes;
    bufferevent_write(pipe->to, bytes.data(), bytes.size());
  }
  if (!pipe->delayed.empty())
    return pipe->timer->Set(pipe->delayed.front().due - now);
  if (pipe->input_ended && evbuffer_get_length(bufferevent_get_output(pipe->to)) == 0)
    Close(pipe->flow);
}

void Relay::OnWritten(bufferevent* to, void* arg) {
  // `arg` is the pipe that reads from this bufferevent. The pipe that writes to it is the other one.
  Flow* flow = static_cast<Pipe*>(arg)->flow;
  const Pipe& written = flow->to_worker.to == to ? flow->to_worker : flow->from_worker;
  if (written.input_ended && written.delayed.empty())
    flow->relay->Close(flow);
}

void Relay::OnEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  auto* pipe = static_cast<Pipe*>(arg);
  Flow* flow = pipe->flow;
  Relay* relay = flow->relay;
  if (flow->closed)
    return;
  if (pipe == &flow->to_worker)
    relay->EndAttempt(flow);
  if ((what & BEV_EVENT_ERROR) != 0)
    return relay->Close(flow);
  relay->ReadInput(pipe);
  pipe->input_ended = true;
  relay->Forward(pipe);
}

void Relay::ParseHead(Flow* flow, const std::string& bytes) {
  if (!flow->attempt.request.empty())
    return;
  flow->head += bytes;
  const std::string name = "\r\nReq-Id: ";
  const std::size_t at = flow->head.find(name);
  const std::size_t end = at == std::string::npos ? at : flow->head.find("\r\n", at + name.size());
  if (end == std::string::npos)
    return;
  flow->attempt.request = flow->head.substr(at + name.size(), end - at - name.size());
  // After a cut the relay reads the head late, and the dispatcher may have ended the attempt already.
  if (PeerHasClosed(bufferevent_getfd(flow->dispatcher.get())))
    return;
  flow->attempt.number = ++*attempt_counter_;
  flow->attempt.earliest_start = flow->was_cut ? flow->opened : SteadyNow();
  flow->attempt_open = true;
  observer_.attempt_started(flow->attempt);
}

void Relay::EndAttempt(Flow* flow) {
  if (std::exchange(flow->attempt_open, false))
    observer_.attempt_ended(flow->attempt);
}

void Relay::DetectClosed() {
  for (Flow& flow : flows_) {
    if (flow.attempt_open && PeerHasClosed(bufferevent_getfd(flow.dispatcher.get())))
      EndAttempt(&flow);
  }
}

bool Relay::HasOpenAttempt() const {
  return std::ranges::any_of(flows_, [](const Flow& flow) { return flow.attempt_open; });
}

void Relay::Close(Flow* flow) {
  if (std::exchange(flow->closed, true))
    return;
  EndAttempt(flow);
  bufferevent_disable(flow->dispatcher.get(), EV_READ | EV_WRITE);
  bufferevent_disable(flow->worker.get(), EV_READ | EV_WRITE);
  sweep_->Set(0);
}

void Relay::Reset() {
  const linger reset_on_close{1, 0};
  for (Flow& flow : flows_) {
    if (flow.closed)
      continue;
    for (bufferevent* side : {flow.dispatcher.get(), flow.worker.get()})
      setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    Close(&flow);
  }
}

void Relay::CutToWorker(bool cut) {
  cut_to_worker_ = cut;
  ApplyCuts();
}

void Relay::CutFromWorker(bool cut) {
  cut_from_worker_ = cut;
  ApplyCuts();
}

void Relay::Delay(Micros delay) { delay_ = delay; }

void Relay::LimitRate(int bytes_per_milli) { bytes_per_milli_ = bytes_per_milli; }

void Relay::DelayConnects(bool delayed) {
  const int fd = evconnlistener_get_fd(listener_.get());
  if (!delayed) {
    queue_filler_.reset();
    evconnlistener_enable(listener_.get());
    listen(fd, SOMAXCONN);
    return;
  }
  evconnlistener_disable(listener_.get());
  listen(fd, 0);
  queue_filler_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  const sockaddr_in self = Loopback(port_);
  bufferevent_socket_connect(queue_filler_.get(), reinterpret_cast<const sockaddr*>(&self), sizeof(self));
}

bool Relay::IsCut(const Pipe& pipe) const {
  return &pipe == &pipe.flow->to_worker ? cut_to_worker_ : cut_from_worker_;
}

// The relay does not read from a cut direction, so that the bytes and the end of the stream stay in the
// kernel.
void Relay::ApplyCuts() {
  for (Flow& flow : flows_) {
    flow.was_cut |= cut_to_worker_;
    for (Pipe* pipe : {&flow.to_worker, &flow.from_worker}) {
      if (flow.closed)
        break;
      if (IsCut(*pipe)) {
        bufferevent_disable(pipe->from, EV_READ);
        continue;
      }
      bufferevent_enable(pipe->from, EV_READ);
      ReadInput(pipe);
      Forward(pipe);
    }
  }
}

}  // namespace aldersill::fleet
