#include "hickoryshore/ctl/declaration_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace hickoryshore {

namespace {

struct LoadedFile
{
    std::string name;
    std::string text;
};

LoadedFile loadFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (!stream) {
        throw std::runtime_error("cannot read " + path.string());
    }
    return {path.string(), std::move(text)};
}

} // namespace

ParsedDeclarations readDeclarationFolder(const std::string &folder)
{
    if (!std::filesystem::is_directory(folder)) {
        throw std::runtime_error(folder + " is not a folder");
    }
    std::vector<LoadedFile> loaded;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder)) {
        if (entry.is_regular_file() && entry.path().extension() == ".json") {
            loaded.push_back(loadFile(entry.path()));
        }
    }
    std::ranges::sort(loaded, {}, &LoadedFile::name);
    std::vector<DeclarationFile> files;
    for (const LoadedFile &file : loaded) {
        files.push_back({file.name, file.text});
    }
    return parseDeclarations(files);
}

} // namespace hickoryshore
