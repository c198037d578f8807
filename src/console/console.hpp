// The operator's console: text commands over a Unix socket, and the command-line client for it.
#pragma once

#include <string>
#include <vector>

#include "net/connections.hpp"
#include "program.hpp"

namespace heathturn {

/// Serves the console of a program. Each answer ends with a line that holds only a full stop.
class Console : public ConnectionHandler {
 public:
  /// `path` is the Unix socket to listen on, `version` is shown by `status`. Throws std::runtime_error if it
  /// cannot listen.
  Console(Program& program, std::string path, std::string version);
  ~Console() override;
  Console(const Console&) = delete;
  Console& operator=(const Console&) = delete;

  void on_input(Handle connection, evbuffer* in) override;
  void on_ended(Handle, const char*) override {}

 private:
  [[nodiscard]] std::string answer(const std::string& command);
  [[nodiscard]] std::string status();
  [[nodiscard]] std::string converters();
  [[nodiscard]] std::string calls();

  Program& program_;
  std::string path_;
  std::string version_;
};

/// Sends the given command to the console at `path`, or without one the lines of standard input, and prints
/// the answers. Returns the exit status. Throws std::runtime_error if there is no console.
int run_console(const std::string& path, const std::vector<std::string>& command);

}  // namespace heathturn
