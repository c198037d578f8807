// Loads the operator's files: protobuf text format with includes, each value with its location.
#pragma once

#include <google/protobuf/text_format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/diagnostics.hpp"
#include "heathturn/config/v1/site.pb.h"

namespace heathturn {

/// A parsed file.
struct SourceFile {
  std::string name;  ///< path as the operator would write it
  config::v1::Site message;
  std::unique_ptr<google::protobuf::TextFormat::ParseInfoTree> locations;
  bool complete = false;  ///< parsed to its end; otherwise fields that seem to be missing may be in the rest
};

/// A file and everything that it includes.
struct Sources {
  std::vector<std::unique_ptr<SourceFile>>
      files;             ///< in the order in which they apply; the main file is last
  bool complete = true;  ///< every file was found and parsed to its end
};

/// Largest size of one file, and of all files together.
inline constexpr std::size_t max_file_bytes = std::size_t{32} << 20;
inline constexpr std::size_t max_total_bytes = std::size_t{64} << 20;

/// Parses the text of one file, without its includes. After an error the result has what was parsed so far.
[[nodiscard]] std::unique_ptr<SourceFile> parse_source_text(const std::string& name, const std::string& text,
                                                            Diagnostics& diagnostics);
/// Reads a regular file of up to `max_bytes` bytes into `text`. On failure returns false and adds a
/// diagnostic: a copy of `reported_as`, which has the location and the key, with the message filled in.
[[nodiscard]] bool read_source_file(const std::string& path, std::size_t max_bytes, std::string& text,
                                    Diagnostic reported_as, Diagnostics& diagnostics);
/// Loads the file and everything that it includes, each file once.
[[nodiscard]] Sources load_sources(const std::string& path, Diagnostics& diagnostics);

/// Whether the text begins like the JSON form of earlier versions (0.3 and before).
[[nodiscard]] bool is_json_form(const std::string& text);

}  // namespace heathturn
