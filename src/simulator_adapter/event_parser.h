// Reads the events that the simulator sends.
#ifndef ALDERSILL_SRC_SIMULATOR_ADAPTER_EVENT_PARSER_H_
#define ALDERSILL_SRC_SIMULATOR_ADAPTER_EVENT_PARSER_H_

#include "aldersill/dispatch/dispatcher.h"
#include "simulator_adapter/line.h"

namespace aldersill::simulator_adapter {

dispatch::WorkerEntry ParseWorker(const Line& line);
dispatch::WorkerList::Form ParseListForm(const Line& line);
dispatch::Arrival ParseArrival(const Line& line);
dispatch::StreamStarted ParseStreamStarted(const Line& line);
dispatch::Progress ParseProgress(const Line& line);
dispatch::AttemptEnded ParseAttemptEnded(const Line& line);
dispatch::ProbeDone ParseProbeDone(const Line& line);

}  // namespace aldersill::simulator_adapter

#endif  // ALDERSILL_SRC_SIMULATOR_ADAPTER_EVENT_PARSER_H_
