// What the cases of this folder share: the record, the dispatcher under test, and Faktory stand-ins. They use
// the blocking stand-ins of tools/stand_ins.h. Everything is on loopback, in real time.
#ifndef ALDERSILL_REVIEW_SUPPORT_HARNESS_H_
#define ALDERSILL_REVIEW_SUPPORT_HARNESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace review {

enum class Verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

double SecondsSinceStart();
void SleepUntil(double seconds_since_start);

// One line for each thing sent, answered or run, with the time since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// The dispatcher, started with the command of the deploy file (RUN_COMMAND) by /bin/sh from the root of the
// repository, with free ports and a temporary folder.
class Dispatcher {
 public:
  // `name` tells the processes of one case apart. `environment` is added to that of this process.
  Dispatcher(const std::string& name, const std::string& settings_yaml,
             const std::map<std::string, std::string>& environment);
  // Kills the process.
  ~Dispatcher();
  // Waits until the listener of that name is logged; throws std::runtime_error after 10 s.
  std::uint16_t PortOf(const std::string& listener) const;
  // Waits until the dispatcher has answered /-/ready with 200; throws after 30 s.
  void AwaitReady(std::uint16_t http_port) const;
  void Signal(int number) const;
  bool Running();
  pid_t pid() const { return pid_; }

 private:
  std::string log_path_;
  pid_t pid_ = -1;
};

// One run of a job at a worker: from the FETCH or the request to the ACK or the response.
struct Run {
  std::string worker;
  std::string id;
  std::string label;  // what the job says of itself: the first word of its argument or body
  double begin = 0.0;
  double end = -1.0;  // negative: still running
};

class Runs {
 public:
  explicit Runs(Record* record) : record_(record) {}
  std::size_t Begin(const std::string& worker, const std::string& id, const std::string& label);
  void End(std::size_t run);
  std::vector<Run> All() const;

 private:
  Record* record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

// A slot of a Faktory worker on a thread of its own: fetches jobs, runs each for the time that `run_ms`
// gives, and acknowledges it. The result names the label of the job for which it was made. Ends with the
// session.
void StartFaktorySlot(std::uint16_t port, const std::string& wid, Runs* runs,
                      std::function<int(const std::string& label)> run_ms);

// Discovery with a list that never changes. A watch ends without a change after the time that its call names.
class Discovery {
 public:
  explicit Discovery(std::string servers_json);
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }

 private:
  std::string Answer(const aldersill::tools::HttpMessage& request) const;
  const std::string servers_json_;
  aldersill::tools::HttpServer server_;
};

// A worker of the platform: runs each job for `job_ms`, answers probes, and ends each with a load report's
// answer or a last line as the protocol page has them.
class HttpWorker {
 public:
  HttpWorker(std::string name, int job_ms, Runs* runs);
  // Its entry in discovery's list.
  std::string Entry() const;

 private:
  std::string Answer(const aldersill::tools::HttpMessage& request) const;
  const std::string name_;
  const int job_ms_;
  Runs* const runs_;
  aldersill::tools::HttpServer server_;
};

// The answer of a platform client's request; empty if the connection ended without a whole answer.
struct HttpAnswer {
  int status = 0;
  std::string body;
};
std::optional<HttpAnswer> PostJob(std::uint16_t port, const std::string& job_class, const std::string& id,
                                  int deadline_ms, const std::string& body);

// The text of a PUSH command whose only argument is `argument`.
std::string PushCommand(const std::string& job_class, const std::string& jid, const std::string& argument);
// The reply, or nothing if the connection ended without one.
std::optional<std::string> Push(aldersill::tools::FaktorySession* session, const std::string& command);

// Runs the case: gives it the record and whether the disruption is wanted (TROUBLE is not "0"), writes the
// verdict and ends the process, after which no process that it started runs on.
int RunCase(const std::function<Verdict(Record*, bool trouble)>& run);

}  // namespace review

#endif  // ALDERSILL_REVIEW_SUPPORT_HARNESS_H_
