#include "core/request_table.h"

#include <utility>

namespace aldersill {

dispatch::RequestId RequestTable::Add(Request request) {
  const dispatch::RequestId id{next_request_++};
  waiting_[request.client] = id;
  requests_.emplace(id, std::move(request));
  return id;
}

Request* RequestTable::Find(dispatch::RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

std::optional<dispatch::RequestId> RequestTable::FindWaiting(const ClientRef& client) const {
  const auto found = waiting_.find(client);
  return found == waiting_.end() ? std::nullopt : std::optional(found->second);
}

void RequestTable::StopWaiting(Request& request) {
  waiting_.erase(request.client);
  request.answered = true;
}

void RequestTable::Answer(dispatch::RequestId id, FinalAnswer answer) {
  Request* request = Find(id);
  if (request == nullptr || request->answered)
    return;
  StopWaiting(*request);
  ClassCounters& count = context_.counters.classes[request->class_counter];
  if (std::holds_alternative<Served>(answer))
    ++count.served;
  else if (std::holds_alternative<Rejection>(answer))
    ++count.rejected;
  else
    ++count.failed;
  context_.Emit(aldersill::Answer{
      .client = request->client, .answer = std::move(answer), .request_id = request->job->id});
}

}  // namespace aldersill
