// Stand-ins for the outside, written from the public specifications: Faktory clients and workers, the
// platform's service clients, instances and discovery. Blocking, loopback only, and no load: each does one
// thing at a time. The tests, the command-line tools and the examples share them.
#ifndef ALDERSILL_TOOLS_STAND_INS_H_
#define ALDERSILL_TOOLS_STAND_INS_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "player.h"

namespace aldersill::tools {

// A connection read line by line. What it reads throws std::runtime_error at the stream's end.
class Wire {
 public:
  explicit Wire(Socket socket) : socket_(std::move(socket)) {}
  void Write(const std::string& text);
  std::string ReadLine();  // without its CR LF
  std::string ReadExactly(std::size_t size);
  void Abort();  // ends the stream, also for a reader in another thread
  int fd() const { return socket_.fd(); }

 private:
  Socket socket_;
  std::string unread_;
};

// What becomes of a job that a worker stand-in was given.
enum class JobOutcome { kDone, kFail, kDrop };
using RunJob = std::function<JobOutcome(const std::string& id, const std::string& job_class)>;

class FaktorySession {
 public:
  // Greets; with a wid as a worker.
  FaktorySession(std::uint16_t port, const std::string& wid = "");
  // One command, one reply: the line of a simple reply, or a bulk's text; nothing for a null bulk.
  std::optional<std::string> SendCommand(const std::string& command);
  Wire& wire() { return wire_; }

 private:
  Wire wire_;
};

// One slot of a Faktory worker: fetches, runs, acknowledges, and comes back after a drop, until stopped.
class FaktorySlot {
 public:
  FaktorySlot(std::uint16_t port, std::string wid, RunJob run);
  ~FaktorySlot();

 private:
  void Work(std::uint16_t port, const std::string& wid);
  RunJob run_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  FaktorySession* session_ = nullptr;
  std::thread thread_;
};

struct HttpMessage {
  std::string start;  // the request line, or the status line
  std::string Header(const std::string& name) const;
  std::list<std::pair<std::string, std::string>> headers;
  std::string body;
};
HttpMessage ReadHttp(Wire* wire);

// A service client's request and the answer to it.
HttpMessage Post(Wire* wire, const std::string& job_class, const std::string& id, const std::string& tenant,
                 int deadline_ms, const std::string& body);

// Listens and serves each connection with a thread of its own.
class HttpServer {
 public:
  // Returns the answer, or nothing to drop the connection.
  using Serve = std::function<std::optional<std::string>(const HttpMessage&)>;
  HttpServer(std::uint16_t port, Serve serve);
  ~HttpServer();
  std::uint16_t port() const { return port_; }

 private:
  void Accept();
  Serve serve_;
  Socket listener_;
  std::uint16_t port_;
  std::mutex mutex_;
  std::list<Wire> wires_;
  std::list<std::thread> threads_;
  bool stop_ = false;
  std::thread accepting_;
};

// An instance that runs jobs, and discovery that names instances and has no news after that.
HttpServer::Serve JobRunningHandler(RunJob run);
class StandInDiscovery {
 public:
  StandInDiscovery(std::uint16_t port, std::string servers_json);
  ~StandInDiscovery();
  std::uint16_t port() const { return server_.port(); }

 private:
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stop_ = false;
  HttpServer server_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_STAND_INS_H_
