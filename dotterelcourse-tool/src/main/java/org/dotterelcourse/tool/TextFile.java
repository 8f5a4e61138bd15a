package org.dotterelcourse.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the files that the operator names. */
final class TextFile {
    private TextFile() {}

    /**
     * Reads a file in UTF-8.
     *
     * @param path its path
     * @return the text
     * @throws WrongCallException if it can't be read
     */
    static String read(String path) throws WrongCallException {
        try {
            return Files.readString(Path.of(path));
        } catch (NoSuchFileException e) {
            throw new WrongCallException("no such file: " + path);
        } catch (IOException | InvalidPathException e) {
            throw new WrongCallException("can't read " + path + ": " + e.getMessage());
        }
    }
}
