// The workers of a run, as HTTP servers on the rig's event loop. They run jobs for a random time, fail one
// job in ten, answer health checks, and can be made to hang.
#ifndef ALDERSILL_TESTS_FLEET_WORKER_STAND_INS_H_
#define ALDERSILL_TESTS_FLEET_WORKER_STAND_INS_H_

#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fleet/run_context.h"
#include "net/event_ptr.h"
#include "net/timer.h"

namespace aldersill::fleet {

class WorkerStandIns {
 public:
  // Starts as many workers as the timetable has. Throws std::runtime_error if one cannot listen.
  explicit WorkerStandIns(const RunContext& context);

  std::uint16_t port(int worker) const { return workers_[worker]->port; }
  // Jobs that arrive before `until`, a time of the steady clock, are accepted and never answered.
  void HangUntil(int worker, Micros until) { workers_[worker]->hangs_until = until; }

 private:
  struct Worker {
    WorkerStandIns* owner = nullptr;
    int number = 0;
    std::uint16_t port = 0;
    Micros hangs_until = 0;
    int running_jobs = 0;
    EventPtr<evhttp> server;
  };
  struct Job {
    Worker* worker = nullptr;
    std::string id;
    std::string result;
    bool fails = false;
    int duration_ms = 0;
    evhttp_request* request = nullptr;  // null once its connection has ended
    std::unique_ptr<Timer> progress, completion;
  };

  static void OnRequest(evhttp_request* request, void* worker);
  static void OnConnectionEnd(evhttp_connection* connection, void* job);
  void AddWorker(int number);
  void AnswerHealthCheck(const Worker& worker, evhttp_request* request);
  void StartJob(Worker* worker, const std::string& id, const std::string& job_class, evhttp_request* request);
  int DrawDurationMs(const std::string& job_class);
  void ScheduleProgress(Job* job);
  void ScheduleCompletion(Job* job);
  void CompleteJob(Job* job);
  void SendLine(Job* job, const nlohmann::json& message);
  nlohmann::json LoadReport(const Worker& worker) const;

  RunContext context_;
  pcg32 random_;
  int runs_ = 0;
  std::list<Job> jobs_;  // declared before the servers, whose destruction closes the jobs' connections
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_WORKER_STAND_INS_H_
