#include <cstdlib>
#include <iostream>

int main() {
  std::cerr << "foxquay: no subcommand is built yet\n";
  return EXIT_FAILURE;
}
