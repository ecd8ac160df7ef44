// Stand-ins for the systems around the dispatcher, written from the public specifications: Faktory clients
// and workers, and the platform's service clients, workers and discovery. They block, use loopback only and
// do one thing at a time, so that they make no load. The tests, the command-line tools and the examples share
// them.
//
// tests/fleet has others, on one event loop, for many processes and injected faults.
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
#include <utility>

#include "loopback.h"

namespace aldersill::tools {

// A connection that is read line by line. Reading and writing throw std::runtime_error at the stream's end.
class Wire {
 public:
  explicit Wire(Socket socket) : socket_(std::move(socket)) {}
  void Write(const std::string& text);
  std::string ReadLine();  // without its CR LF or LF
  std::string ReadExactly(std::size_t size);
  void Abort();  // ends the stream, also for a thread that reads from it
  int fd() const { return socket_.fd(); }

 private:
  void ReadMore();
  Socket socket_;
  std::string unread_;
};

// How a stand-in worker ends a job: with success, with failure, or by dropping the connection.
enum class JobOutcome { kDone, kFail, kDrop };
using RunJob = std::function<JobOutcome(const std::string& id, const std::string& job_class)>;

// A connection to the daemon's Faktory listener after the handshake.
class FaktorySession {
 public:
  // With a `wid` it is a worker's session, else a producer's. Throws std::runtime_error if it is not
  // accepted.
  explicit FaktorySession(std::uint16_t port, const std::string& wid = "");
  // Returns the reply: the line of a simple reply, or the text of a bulk; nothing for a null bulk.
  std::optional<std::string> SendCommand(const std::string& command);
  Wire& wire() { return wire_; }

 private:
  Wire wire_;
};

// One slot of a Faktory worker, on a thread of its own: fetches jobs, runs and acknowledges them, and
// connects again after it dropped a connection, until it is destroyed or the daemon is gone.
class FaktorySlot {
 public:
  FaktorySlot(std::uint16_t port, std::string wid, RunJob run);
  ~FaktorySlot();

 private:
  void Work(std::uint16_t port, const std::string& wid);
  // False once the slot is stopped.
  bool SetSession(FaktorySession* session);
  void ServeJobs(FaktorySession* session);
  RunJob run_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  FaktorySession* session_ = nullptr;
  std::thread thread_;
};

struct HttpMessage {
  std::string start;  // the request line, or the status line
  // An empty string if there is no such header. Names are compared exactly.
  std::string Header(const std::string& name) const;
  std::list<std::pair<std::string, std::string>> headers;
  std::string body;
};
// Reads one message. Throws std::runtime_error at the stream's end or for a malformed header.
HttpMessage ReadHttp(Wire* wire);

// Sends a service client's request and waits for the answer.
HttpMessage Post(Wire* wire, const std::string& job_class, const std::string& id, const std::string& tenant,
                 int deadline_ms, const std::string& body);

// An HTTP server with a thread for each connection.
class HttpServer {
 public:
  // Returns the answer's bytes, or nothing to drop the connection.
  using Handler = std::function<std::optional<std::string>(const HttpMessage&)>;
  // Throws std::runtime_error if it cannot listen. `port` 0: the kernel chooses.
  HttpServer(std::uint16_t port, Handler handler);
  ~HttpServer();
  std::uint16_t port() const { return port_; }

 private:
  void AcceptConnections();
  void Serve(Wire* wire);
  Handler handler_;
  Socket listener_;
  std::uint16_t port_;
  std::mutex mutex_;
  std::list<Wire> wires_;
  std::list<std::thread> threads_;
  bool stop_ = false;
  std::thread accept_thread_;
};

// The handler of a worker that runs jobs.
HttpServer::Handler JobRunningHandler(RunJob run);

// Discovery that lists the same servers all the time. Watches get no change, and end when it is destroyed.
class StandInDiscovery {
 public:
  // `servers_json`: a JSON array of entries in discovery's form.
  StandInDiscovery(std::uint16_t port, std::string servers_json);
  ~StandInDiscovery();
  std::uint16_t port() const { return server_.port(); }

 private:
  std::string Answer(const HttpMessage& request);
  const std::string servers_json_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stop_ = false;
  HttpServer server_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_STAND_INS_H_
