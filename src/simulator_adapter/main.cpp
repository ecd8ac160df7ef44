// The program that the simulator starts: it connects the decision module to standard input and output.
#include <iostream>

#include "simulator_adapter/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return aldersill::simulator_adapter::Serve(std::cin, std::cout, std::cerr);
}
