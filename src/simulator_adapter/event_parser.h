// Parses the simulator's event lines into events of the decision module. All functions throw FormatError if a
// required field is missing or a field is malformed.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_EVENT_PARSER_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_EVENT_PARSER_H_

#include "aldersill/dispatch/dispatcher.h"
#include "simulator_adapter/line.h"

namespace aldersill::simulator_adapter {

// Parses one entry ('m') of a worker list.
dispatch::WorkerEntry ParseWorker(const Line& line);
// Parses the form of a worker list; its entries follow on lines of their own.
dispatch::WorkerList::Form ParseListForm(const Line& line);
// Rounds the number of slots that the job needs up to a whole number, at least one.
dispatch::Arrival ParseArrival(const Line& line);
dispatch::StreamStarted ParseStreamStarted(const Line& line);
dispatch::Progress ParseProgress(const Line& line);
dispatch::AttemptEnded ParseAttemptEnded(const Line& line);
dispatch::ProbeDone ParseProbeDone(const Line& line);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_EVENT_PARSER_H_
