#include <iostream>

#include "simulator_adapter/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return aldersill::dispatch::simulator::Serve(std::cin, std::cout, std::cerr);
}
