// One question to a dispatcher's control socket, on the rig's event loop: no answer from one that stands
// still must hold up the rig.
#ifndef ALDERSILL_TESTS_FLEET_QUESTION_H_
#define ALDERSILL_TESTS_FLEET_QUESTION_H_

#include <functional>
#include <string>

#include "net/event_loop.h"

namespace aldersill::fleet {

class Question {
 public:
  // `done` is called once: with the line that came, or with nothing if the connection ended without one. It
  // may destroy the question.
  using Done = std::function<void(const std::string& answer)>;
  Question(event_base* base, const std::string& socket, const std::string& question, Done done);

 private:
  static void OnRead(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  void End(std::string answer);

  Done done_;
  EventPtr<bufferevent> stream_;
  Timer refused_;
};

}  // namespace aldersill::fleet

#endif  // ALDERSILL_TESTS_FLEET_QUESTION_H_
