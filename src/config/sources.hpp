// The operator's files as they are read: protobuf text format with includes, each value with its place.
#pragma once

#include <google/protobuf/text_format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/diagnostics.hpp"
#include "heathturn/config/v1/site.pb.h"

namespace heathturn {

/// One file, parsed.
struct SourceFile {
  std::string name;  ///< as the operator would name it
  config::v1::Site message;
  std::unique_ptr<google::protobuf::TextFormat::ParseInfoTree> locations;
  bool complete = false;  ///< read to its end; what it lacks else may stand in the rest
};

struct Sources {
  std::vector<std::unique_ptr<SourceFile>> files;  ///< in the order in which they count
  bool complete = true;                            ///< every file could be had and was read to its end
};

/// Bytes of one file, and of all read together.
inline constexpr std::size_t max_file_bytes = std::size_t{32} << 20;
inline constexpr std::size_t max_total_bytes = std::size_t{64} << 20;

/// What a text of a file holds, without its includes; faults go to `diagnostics`, and what could be read is
/// kept.
[[nodiscard]] std::unique_ptr<SourceFile> parse_source_text(const std::string& name, const std::string& text,
                                                            Diagnostics& diagnostics);
/// A regular file's text; nothing, and a fault at `from`, when it cannot be had or is too large to be read.
[[nodiscard]] bool read_source_file(const std::string& path, std::size_t most, std::string& text,
                                    Diagnostic from, Diagnostics& diagnostics);
/// The file and all that it includes, each once.
[[nodiscard]] Sources load_sources(const std::string& path, Diagnostics& diagnostics);

/// The text begins as the JSON form of earlier versions did.
[[nodiscard]] bool is_json_form(const std::string& text);

}  // namespace heathturn
