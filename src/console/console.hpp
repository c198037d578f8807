// The operator's console: plain commands over a Unix socket, and the client that a terminal runs.
#pragma once

#include <string>
#include <vector>

#include "net/connections.hpp"
#include "program.hpp"

namespace heathturn {

class Console : public ConnectionUser {
 public:
  /// `version` is what `status` shows. Throws std::runtime_error when the socket cannot be had.
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

/// Runs the given command, or with none those that standard input gives. Returns the exit status.
int run_console(const std::string& path, const std::vector<std::string>& command);

}  // namespace heathturn
