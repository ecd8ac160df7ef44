#include "stand_ins.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace aldersill::tools {
namespace {

constexpr std::chrono::seconds kWatchTime(5);  // after which a watch request ends without a change

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

void Wire::Write(const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t written = send(socket_.fd(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (written <= 0)
      throw std::runtime_error("cannot write: the connection has failed or the peer has closed it");
    sent += static_cast<std::size_t>(written);
  }
}

void Wire::ReadMore() {
  char buffer[8192];
  const ssize_t received = recv(socket_.fd(), buffer, sizeof(buffer), 0);
  if (received <= 0)
    throw std::runtime_error("cannot read: the connection has failed or the peer has closed it");
  unread_.append(buffer, static_cast<std::size_t>(received));
}

std::string Wire::ReadLine() {
  std::size_t end;
  while ((end = unread_.find('\n')) == std::string::npos)
    ReadMore();
  std::string line = unread_.substr(0, end);
  unread_.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r')
    line.pop_back();
  return line;
}

std::string Wire::ReadExactly(std::size_t size) {
  while (unread_.size() < size)
    ReadMore();
  std::string text = unread_.substr(0, size);
  unread_.erase(0, size);
  return text;
}

void Wire::Abort() { shutdown(socket_.fd(), SHUT_RDWR); }

FaktorySession::FaktorySession(std::uint16_t port, const std::string& wid) : wire_(ConnectTo(port)) {
  const std::string greeting = wire_.ReadLine();
  if (!greeting.starts_with("+HI "))
    throw std::runtime_error("Faktory: expected the greeting '+HI ...', got '" + greeting + "'");
  nlohmann::json hello = {{"v", 2}};
  if (!wid.empty())
    hello.update({{"wid", wid}, {"hostname", "localhost"}, {"pid", 1}, {"labels", nlohmann::json::array()}});
  const auto reply = SendCommand("HELLO " + hello.dump());
  if (reply != "+OK")
    throw std::runtime_error("Faktory: expected '+OK' after HELLO, got '" + reply.value_or("null") + "'");
}

std::optional<std::string> FaktorySession::SendCommand(const std::string& command) {
  wire_.Write(command + "\r\n");
  std::string line = wire_.ReadLine();
  if (line == "$-1")
    return std::nullopt;
  if (!line.starts_with("$"))
    return line;
  std::string text = wire_.ReadExactly(std::stoul(line.substr(1)));
  wire_.ReadLine();
  return text;
}

FaktorySlot::FaktorySlot(std::uint16_t port, std::string wid, RunJob run)
    : run_(std::move(run)), thread_([this, port, wid = std::move(wid)] { Work(port, wid); }) {}

FaktorySlot::~FaktorySlot() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    if (session_ != nullptr)
      session_->wire().Abort();
  }
  thread_.join();
}

bool FaktorySlot::SetSession(FaktorySession* session) {
  const std::lock_guard lock(mutex_);
  session_ = session;
  return !stop_;
}

void FaktorySlot::Work(std::uint16_t port, const std::string& wid) {
  try {
    while (!stop_) {
      FaktorySession session(port, wid);
      if (!SetSession(&session))
        return;
      try {
        ServeJobs(&session);
      } catch (const std::exception&) {  // the daemon has closed the session; open another one
      }
      SetSession(nullptr);
    }
  } catch (const std::exception&) {  // the daemon no longer accepts sessions
  }
}

// Returns when the slot is stopped or a job drops the session. Throws if the daemon closes the session.
void FaktorySlot::ServeJobs(FaktorySession* session) {
  while (!stop_) {
    const auto fetched = session->SendCommand("FETCH default");
    if (!fetched)
      continue;
    if (!fetched->starts_with("{"))
      throw std::runtime_error("FETCH: " + *fetched);
    const nlohmann::json job = nlohmann::json::parse(*fetched);
    const std::string jid = job.at("jid");
    const JobOutcome outcome = run_(jid, job.at("jobtype"));
    if (outcome == JobOutcome::kDrop)
      return;
    const std::string verb = outcome == JobOutcome::kDone ? "ACK " : "FAIL ";
    session->SendCommand(verb + nlohmann::json{{"jid", jid}}.dump());
  }
}

std::string HttpMessage::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (key == name)
      return value;
  }
  return "";
}

HttpMessage ReadHttp(Wire* wire) {
  HttpMessage message;
  message.start = wire->ReadLine();
  for (std::string line; !(line = wire->ReadLine()).empty();) {
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos)
      throw std::runtime_error("HTTP: expected a header 'NAME: VALUE', got '" + line + "'");
    message.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
  }
  const std::string length = message.Header("Content-Length");
  if (!length.empty())
    message.body = wire->ReadExactly(std::stoul(length));
  return message;
}

HttpMessage Post(Wire* wire, const std::string& job_class, const std::string& id, const std::string& tenant,
                 int deadline_ms, const std::string& body) {
  wire->Write("POST /" + job_class + " HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
              "\r\nReq-Kind: " + job_class + "\r\nReq-Owner: " + tenant +
              "\r\nReq-Deadline: " + std::to_string(deadline_ms) + "m\r\nIdempotency-Key: " + id +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return ReadHttp(wire);
}

HttpServer::HttpServer(std::uint16_t port, Handler handler)
    : handler_(std::move(handler)),
      listener_(ListenOn(port)),
      port_(PortOf(listener_)),
      accept_thread_([this] { AcceptConnections(); }) {}

HttpServer::~HttpServer() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    for (Wire& wire : wires_)
      wire.Abort();
  }
  shutdown(listener_.fd(), SHUT_RDWR);  // ends a blocking accept
  accept_thread_.join();
  for (std::thread& thread : threads_)
    thread.join();
}

void HttpServer::AcceptConnections() {
  while (true) {
    const int fd = accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    Socket connection(fd);
    const std::lock_guard lock(mutex_);
    if (stop_ || fd < 0)
      return;
    Wire& wire = wires_.emplace_back(std::move(connection));
    threads_.emplace_back([this, &wire] { Serve(&wire); });
  }
}

void HttpServer::Serve(Wire* wire) {
  try {
    while (const auto answer = handler_(ReadHttp(wire)))
      wire->Write(*answer);
  } catch (const std::exception&) {  // the peer has closed the connection
  }
  wire->Abort();
}

HttpServer::Handler JobRunningHandler(RunJob run) {
  return [run = std::move(run)](const HttpMessage& request) -> std::optional<std::string> {
    const std::string id = request.Header("Req-Id");
    const JobOutcome outcome = run(id, request.Header("Req-Kind"));
    if (outcome == JobOutcome::kDrop)
      return std::nullopt;
    const char* state = outcome == JobOutcome::kDone ? "done" : "failed";
    return OkResponse(nlohmann::json{{"id", id}, {"state", state}, {"result", "ran " + id}}.dump() + "\n");
  };
}

StandInDiscovery::StandInDiscovery(std::uint16_t port, std::string servers_json)
    : servers_json_(std::move(servers_json)),
      server_(port, [this](const HttpMessage& request) { return Answer(request); }) {}

StandInDiscovery::~StandInDiscovery() {
  const std::lock_guard lock(mutex_);
  stop_ = true;
  stopped_.notify_all();
}

std::string StandInDiscovery::Answer(const HttpMessage& request) {
  const bool has_list = request.start.find("index=2&") != std::string::npos;
  if (!has_list)
    return OkResponse(R"({"version":2,"full":true,"servers":)" + servers_json_ + "}");
  std::unique_lock lock(mutex_);
  stopped_.wait_for(lock, kWatchTime, [this] { return stop_; });
  return OkResponse(R"({"version":2,"full":false,"servers":[]})");
}

}  // namespace aldersill::tools
