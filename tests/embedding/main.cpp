// Example of a program that embeds the decision module: passes it a worker list and one job, and prints where
// the job is to be sent.
#include <iostream>
#include <vector>

#include "aldersill/dispatch/dispatcher.h"

int main() {
  using namespace aldersill::dispatch;
  Settings settings;
  ClassSettings job_class;
  job_class.name = "price";
  job_class.repeat = Repeat::kRepeatable;
  settings.classes = {job_class};
  settings.kinds = {"box"};
  settings.zones = {"north"};
  settings.zone = "north";
  Dispatcher dispatcher(settings, /*seed=*/42);

  std::vector<Action> actions;
  WorkerEntry worker;
  worker.worker = "w1";
  worker.kind = "box";
  worker.zone = "north";
  dispatcher.Handle(0, WorkerList{WorkerList::Form::kFull, {worker}}, &actions);
  Arrival job;
  job.request = RequestId{1};
  job.job_class = "price";
  job.time_left = 1'000'000;
  dispatcher.Handle(1'000, job, &actions);

  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action))
      std::cout << "send to " << send->worker << "\n";
  }
}
