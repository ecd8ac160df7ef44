// Stand-ins for the systems around the dispatcher, written from the public specifications: Faktory clients
// and workers, and the platform's service clients, workers and discovery. They use blocking I/O on loopback
// and handle one request at a time per connection; they are not meant to generate load. The tests, the
// command-line tools and the examples share them.
//
// tests/fleet has stand-ins on an event loop, for many processes and injected faults.
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

// A connection for protocols of text lines. Reading and writing throw std::runtime_error if the peer has
// closed the connection or it fails.
class Wire {
 public:
  explicit Wire(Socket socket) : socket_(std::move(socket)) {}
  void Write(const std::string& text);
  std::string ReadLine();  // without its CR LF or LF
  std::string ReadExactly(std::size_t size);
  // Shuts the connection down, which also ends a read in another thread.
  void Abort();
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
  // With a `wid` the session is a worker's, otherwise a producer's. Throws std::runtime_error if the daemon
  // rejects it.
  explicit FaktorySession(std::uint16_t port, const std::string& wid = "");
  // Sends a command and returns the reply: the line of a simple reply or the text of a bulk string; no value
  // for a null bulk string.
  std::optional<std::string> SendCommand(const std::string& command);
  Wire& wire() { return wire_; }

 private:
  Wire wire_;
};

// One slot of a Faktory worker. Its thread fetches jobs, runs them and acknowledges them. It reconnects after
// a connection has ended, until the slot is destroyed or the daemon no longer accepts connections.
class FaktorySlot {
 public:
  FaktorySlot(std::uint16_t port, std::string wid, RunJob run);
  ~FaktorySlot();

 private:
  void Work(std::uint16_t port, const std::string& wid);
  // Sets the session that the destructor aborts. Returns false if the slot is already stopped.
  bool SetSession(FaktorySession* session);
  void ServeJobs(FaktorySession* session);
  RunJob run_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  FaktorySession* session_ = nullptr;
  std::thread thread_;
};

struct HttpMessage {
  std::string start;  // the request line or the status line
  // The value of a header; empty if there is no such header. Header names are compared case-sensitively.
  std::string Header(const std::string& name) const;
  std::list<std::pair<std::string, std::string>> headers;
  std::string body;
};
// Reads one message with its body. Throws std::runtime_error at the end of the connection or for a malformed
// header.
HttpMessage ReadHttp(Wire* wire);

// Sends a service client's request and waits for the response. `deadline_ms`: time allowed for the job.
HttpMessage Post(Wire* wire, const std::string& job_class, const std::string& id, const std::string& tenant,
                 int deadline_ms, const std::string& body);

// An HTTP server with a thread for each connection.
class HttpServer {
 public:
  // Returns the bytes of the response, or no value to close the connection.
  using Handler = std::function<std::optional<std::string>(const HttpMessage&)>;
  // Throws std::runtime_error if it cannot listen. With `port` 0 the kernel chooses a free port.
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

// Returns the handler of a worker that runs each job with `run` and reports its outcome.
HttpServer::Handler JobRunningHandler(RunJob run);

// A discovery service whose list of servers never changes. A watch request ends without a change after 5 s,
// or when the service is destroyed.
class StandInDiscovery {
 public:
  // `servers_json`: a JSON array of the entries, in discovery's format.
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
